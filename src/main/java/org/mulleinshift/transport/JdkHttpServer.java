package org.mulleinshift.transport;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The JDK's HTTP server in front of the event loop. Its threads read requests and write answers;
 * the server's own limits end connections whose request or answer takes too long, so that slow
 * clients cannot hold the threads.
 */
public final class JdkHttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(JdkHttpServer.class);
  private static final int MAX_BODY = 64 * 1024;

  /** A large machine may have run thousands of tasks while no node could answer it. */
  private static final int MAX_REPORT = 1024 * 1024;

  private static final int STACK_BYTES = 192 * 1024;

  private final EventLoop loop;
  private final RequestHandler handler;
  private final ThreadPoolExecutor threads;
  private final HttpServer server;
  private final Predicate<String> isReport;
  private final InFlightBytesLimiter userBodies;
  private final InFlightBytesLimiter reportBodies;

  /**
   * What it may hold at a time.
   *
   * @param threads that read requests and write answers
   * @param userBodyBytes bodies of users' requests that wait for the event loop
   * @param reportBodyBytes bodies of workers' reports that wait for it
   * @param isReport tells by its path which request is a worker's report
   */
  public record Bounds(
      int threads, int userBodyBytes, int reportBodyBytes, Predicate<String> isReport) {}

  public JdkHttpServer(
      EventLoop loop, RequestHandler handler, InetSocketAddress address, Bounds bounds)
      throws IOException {
    this.loop = loop;
    this.handler = handler;
    this.isReport = bounds.isReport();
    this.userBodies = new InFlightBytesLimiter(bounds.userBodyBytes());
    this.reportBodies = new InFlightBytesLimiter(bounds.reportBodyBytes());
    this.threads =
        new ThreadPoolExecutor(
            bounds.threads(),
            bounds.threads(),
            30,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(2048),
            step -> {
              Thread thread = new Thread(null, step, "http", STACK_BYTES);
              thread.setDaemon(true);
              return thread;
            });
    this.server = HttpServer.create(address, 128);
    server.setExecutor(threads);
    server.createContext("/", this::receive);
  }

  /** Limits of the JDK's server; they must be set before it is first used. */
  public static void configure(int idleConnections) {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxReqTime", "5");
    System.setProperty("sun.net.httpserver.maxRspTime", "10");
    System.setProperty("sun.net.httpserver.idleInterval", "120");
    // Above its cap of idle connections the server closes each one after its answer.
    System.setProperty("sun.net.httpserver.maxIdleConnections", Integer.toString(idleConnections));
    System.setProperty("sun.net.http.retryPost", "false");
    System.setProperty("http.maxConnections", "8");
  }

  public void start() {
    server.start();
  }

  /** Where it listens; tells the port if any free one was asked for. */
  public InetSocketAddress address() {
    return server.getAddress();
  }

  private void receive(HttpExchange exchange) throws IOException {
    String method = exchange.getRequestMethod();
    String path = exchange.getRequestURI().getRawPath();
    boolean report = isReport.test(path);
    int longest = report ? MAX_REPORT : MAX_BODY;
    byte[] body;
    try (InputStream in = exchange.getRequestBody()) {
      body = in.readNBytes(longest + 1);
      if (body.length > longest) {
        exchange.getResponseHeaders().set("Connection", "close");
        write(exchange, 413, "{\"error\":\"body too long\"}");
        return;
      }
    }
    Responder responder = new ExchangeResponder(exchange);
    // Reports have a budget of their own: however much users send, workers are heard.
    InFlightBytesLimiter budget = report ? reportBodies : userBodies;
    if (!budget.tryAcquire(body.length)) {
      responder.respondLater(503, "{\"error\":\"try again\"}", 1);
      return;
    }
    String text = new String(body, StandardCharsets.UTF_8);
    int length = body.length;
    loop.post(
        () -> {
          budget.release(length);
          try {
            handler.handle(method, path, text, responder);
          } catch (RuntimeException e) {
            LOG.error("{} {} failed", method, path, e);
            responder.respondLater(503, "{\"error\":\"internal\"}", 1);
          }
        });
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
      LOG.debug("answer lost: {}", e.toString());
    } finally {
      exchange.close();
    }
  }

  private final class ExchangeResponder implements Responder {
    private final HttpExchange exchange;
    private boolean answered;

    ExchangeResponder(HttpExchange exchange) {
      this.exchange = exchange;
    }

    @Override
    public void respond(int status, String body) {
      if (answered) {
        return;
      }
      answered = true;
      try {
        threads.execute(() -> write(exchange, status, body));
      } catch (RejectedExecutionException e) {
        exchange.close();
      }
    }

    @Override
    public void respondLater(int status, String body, int retryAfterSeconds) {
      if (!answered) {
        exchange.getResponseHeaders().set("Retry-After", Integer.toString(retryAfterSeconds));
      }
      respond(status, body);
    }
  }
}
