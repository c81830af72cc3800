package org.mulleinshift.transport;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An HTTP server, based on that of the JDK, that passes requests to the event loop. Its threads
 * read requests and write responses; the JDK server's time limits close connections whose request
 * or response takes too long, so that slow clients cannot occupy the threads.
 */
public final class JdkHttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(JdkHttpServer.class);
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /** A large machine may have run thousands of tasks while no controller could respond to it. */
  private static final int MAX_HEARTBEAT_BYTES = 1024 * 1024;

  private static final int MAX_QUEUE_LENGTH = 2048;
  private static final int MAX_PENDING_CONNECTIONS = 128;
  private static final int RETRY_AFTER_SECONDS = 1;

  private final EventLoop loop;
  private final RequestHandler handler;
  private final ThreadPoolExecutor threads;
  private final HttpServer server;
  private final Predicate<String> isHeartbeat;
  private final InFlightBytesLimiter userBodies;
  private final InFlightBytesLimiter heartbeatBodies;

  /**
   * Limits on the work that the server accepts at a time.
   *
   * @param threads number of threads that read requests and write responses
   * @param userBodyBytes total size of the users' request bodies that wait for the event loop
   * @param heartbeatBodyBytes total size of the workers' heartbeats that wait for the event loop
   * @param isHeartbeat whether the path of a request is that of worker heartbeats
   */
  public record Limits(
      int threads, int userBodyBytes, int heartbeatBodyBytes, Predicate<String> isHeartbeat) {}

  /**
   * Creates a server that is bound to the address but not started.
   *
   * @throws IOException if the address can't be bound
   */
  public JdkHttpServer(
      EventLoop loop, RequestHandler handler, InetSocketAddress address, Limits limits)
      throws IOException {
    this.loop = loop;
    this.handler = handler;
    this.isHeartbeat = limits.isHeartbeat();
    this.userBodies = new InFlightBytesLimiter(limits.userBodyBytes());
    this.heartbeatBodies = new InFlightBytesLimiter(limits.heartbeatBodyBytes());
    this.threads = DaemonThreads.pool("http", limits.threads(), MAX_QUEUE_LENGTH);
    this.server = HttpServer.create(address, MAX_PENDING_CONNECTIONS);
    server.setExecutor(threads);
    server.createContext("/", this::receive);
  }

  /**
   * Sets the system properties that limit the JDK's HTTP server and client. Must be called before
   * either is first used.
   *
   * @param maxIdleConnections maximum number of server connections kept open between requests
   */
  public static void configureJdkHttp(int maxIdleConnections) {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxReqTime", "5");
    System.setProperty("sun.net.httpserver.maxRspTime", "10");
    System.setProperty("sun.net.httpserver.idleInterval", "120");
    // Once this many connections are idle, the server closes further ones after their response.
    System.setProperty(
        "sun.net.httpserver.maxIdleConnections", Integer.toString(maxIdleConnections));
    System.setProperty("sun.net.http.retryPost", "false");
    System.setProperty("http.maxConnections", "8");
  }

  /** Starts to accept connections. */
  public void start() {
    server.start();
  }

  /** The address that the server listens on, with the actual port if port 0 was requested. */
  public InetSocketAddress address() {
    return server.getAddress();
  }

  private void receive(HttpExchange exchange) throws IOException {
    String method = exchange.getRequestMethod();
    String path = exchange.getRequestURI().getRawPath();
    boolean heartbeat = isHeartbeat.test(path);
    int maxBytes = heartbeat ? MAX_HEARTBEAT_BYTES : MAX_BODY_BYTES;
    byte[] body;
    try (InputStream in = exchange.getRequestBody()) {
      body = in.readNBytes(maxBytes + 1);
      if (body.length > maxBytes) {
        exchange.getResponseHeaders().set("Connection", "close");
        write(exchange, HttpStatus.CONTENT_TOO_LARGE, error("body too long"));
        return;
      }
    }
    Responder responder = new ExchangeResponder(exchange);
    // Heartbeats have a separate limit, so that user requests cannot crowd them out.
    InFlightBytesLimiter limiter = heartbeat ? heartbeatBodies : userBodies;
    if (!limiter.tryAcquire(body.length)) {
      respondUnavailable(responder, "try again");
      return;
    }
    String text = new String(body, StandardCharsets.UTF_8);
    int length = body.length;
    loop.post(
        () -> {
          limiter.release(length);
          handle(method, path, text, responder);
        });
  }

  private void handle(String method, String path, String body, Responder responder) {
    try {
      handler.handle(method, path, body, responder);
    } catch (RuntimeException e) {
      LOG.error("request failed, method={} path={}", method, path, e);
      respondUnavailable(responder, "internal");
    }
  }

  private static void respondUnavailable(Responder responder, String reason) {
    responder.respondWithRetryAfter(
        HttpStatus.SERVICE_UNAVAILABLE, error(reason), RETRY_AFTER_SECONDS);
  }

  private static String error(String reason) {
    return "{\"error\":\"" + reason + "\"}";
  }

  private static void write(HttpExchange exchange, int status, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    try {
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
      try (OutputStream out = exchange.getResponseBody()) {
        out.write(bytes);
      }
    } catch (IOException e) {
      LOG.debug("response not sent, error={}", e.toString());
    } finally {
      exchange.close();
    }
  }

  private final class ExchangeResponder implements Responder {
    private final HttpExchange exchange;
    private boolean responded;

    ExchangeResponder(HttpExchange exchange) {
      this.exchange = exchange;
    }

    @Override
    public void respond(int status, String body) {
      if (responded) {
        return;
      }
      responded = true;
      try {
        threads.execute(() -> write(exchange, status, body));
      } catch (RejectedExecutionException e) {
        exchange.close();
      }
    }

    @Override
    public void respondWithRetryAfter(int status, String body, int retryAfterSeconds) {
      if (!responded) {
        exchange.getResponseHeaders().set("Retry-After", Integer.toString(retryAfterSeconds));
      }
      respond(status, body);
    }
  }
}
