package org.mulleinshift.classarchive;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Serves one simulated service over HTTP on a free port. */
final class TrainingServer {
  private static final int BACKLOG = 8;
  private static final int HTTP_OK = 200;
  private static final int HTTP_NOT_FOUND = 404;

  /** Handler of the requests to a simulated service. */
  interface Service {
    /** The body of the response; empty for status 404. */
    Optional<String> answer(HttpExchange exchange, String body) throws IOException;
  }

  private TrainingServer() {}

  static InetSocketAddress start(Service service) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
    server.createContext("/", exchange -> handle(service, exchange));
    server.start();
    return server.getAddress();
  }

  private static void handle(Service service, HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    Optional<String> answer = service.answer(exchange, body);
    byte[] bytes = answer.orElse("{}").getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(answer.isPresent() ? HTTP_OK : HTTP_NOT_FOUND, bytes.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(bytes);
    }
  }
}
