import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Small HTTP helpers of the stand-ins. */
final class Http {
  static final ObjectMapper JSON = new ObjectMapper();
  static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          body -> {
            Thread thread = new Thread(body);
            thread.setDaemon(true);
            return thread;
          });

  record Answer(int status, String body) {
    JsonNode json() {
      try {
        return JSON.readTree(body.isEmpty() ? "{}" : body);
      } catch (IOException e) {
        return JSON.createObjectNode();
      }
    }
  }

  /** An answer with this status means: close the connection without an answer. */
  static final Answer NONE = new Answer(-1, "");

  interface Handler {
    Answer handle(String method, String path, String body) throws Exception;
  }

  private Http() {}

  static HttpServer serve(int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 512);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> answer(exchange, handler));
    server.start();
    return server;
  }

  private static void answer(HttpExchange exchange, Handler handler) throws IOException {
    String body;
    try (InputStream in = exchange.getRequestBody()) {
      body = new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
    Answer answer;
    try {
      answer = handler.handle(exchange.getRequestMethod(), exchange.getRequestURI().toString(), body);
    } catch (Exception e) {
      answer = new Answer(400, "{\"error\":\"" + e.getClass().getSimpleName() + "\"}");
    }
    if (answer.status() < 0) {
      exchange.close();
      return;
    }
    byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
    try {
      exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
      try (OutputStream out = exchange.getResponseBody()) {
        out.write(bytes);
      }
    } catch (IOException e) {
      // The client gave up.
    } finally {
      exchange.close();
    }
  }

  /** Sends a request; status 0 if no answer came within the time. */
  static Answer call(int port, String method, String path, String body, int timeoutMs) {
    HttpURLConnection connection = null;
    try {
      connection =
          (HttpURLConnection) new URL("http://127.0.0.1:" + port + path).openConnection();
      connection.setConnectTimeout(Math.min(timeoutMs, 1000));
      connection.setReadTimeout(timeoutMs);
      connection.setRequestMethod(method);
      if (body != null) {
        connection.setDoOutput(true);
        connection.setRequestProperty("Content-Type", "application/json");
        try (OutputStream out = connection.getOutputStream()) {
          out.write(body.getBytes(StandardCharsets.UTF_8));
        }
      }
      int status = connection.getResponseCode();
      try (InputStream in =
          status >= 400 ? connection.getErrorStream() : connection.getInputStream()) {
        String text = in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        return new Answer(status, text);
      }
    } catch (IOException e) {
      if (connection != null) {
        connection.disconnect();
      }
      return new Answer(0, "");
    }
  }

  /** A free port below those that the system gives to outgoing connections. */
  static int freePort() throws IOException {
    for (int i = 0; i < 1000; i++) {
      int port = 12_000 + (int) (Math.random() * 18_000);
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress("127.0.0.1", port));
        return port;
      } catch (BindException e) {
        continue;
      }
    }
    throw new IOException("no free port");
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
