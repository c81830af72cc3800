package org.mulleinshift.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Status, headers and bodies of the server's responses, over loopback sockets. */
@Timeout(30)
final class JdkHttpServerTest {
  private static final String JOBS_PATH = "/v2/runs";
  private static final String HEARTBEAT_PATH = "/checkin";
  private static final int MAX_BODY_BYTES = 65_536;
  private static final int MAX_HEARTBEAT_BYTES = 1_048_576;
  private static final int MAX_PENDING_BYTES = 100_000;
  private static final int MORE_THAN_HALF_BYTES = 60_000;
  private static final int THREADS = 4;

  /** The parts of a received response that the tests compare. */
  private record Received(
      int status, String body, Optional<String> contentType, Optional<String> retryAfter) {}

  private final ManualEventLoop loop = new ManualEventLoop();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private JdkHttpServer start(RequestHandler handler) throws IOException {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    JdkHttpServer server =
        new JdkHttpServer(
            loop,
            handler,
            anyPort,
            new JdkHttpServer.Limits(
                THREADS, MAX_PENDING_BYTES, 2 * MAX_HEARTBEAT_BYTES, HEARTBEAT_PATH::equals));
    server.start();
    return server;
  }

  private CompletableFuture<HttpResponse<String>> post(
      JdkHttpServer server, String path, int bytes) {
    String host = InetAddress.getLoopbackAddress().getHostAddress();
    URI uri = URI.create("http://" + host + ":" + server.address().getPort() + path);
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .POST(HttpRequest.BodyPublishers.ofString("x".repeat(bytes)))
            .build();
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  private static Received received(CompletableFuture<HttpResponse<String>> response) {
    HttpResponse<String> done = response.join();
    return new Received(
        done.statusCode(),
        done.body(),
        done.headers().firstValue("Content-Type"),
        done.headers().firstValue("Retry-After"));
  }

  private static Received json(int status, String body, Optional<String> retryAfter) {
    return new Received(status, body, Optional.of("application/json"), retryAfter);
  }

  /** Sends one request, runs the step that handles it and returns the response. */
  private Received exchange(JdkHttpServer server, String path, int bytes)
      throws InterruptedException {
    CompletableFuture<HttpResponse<String>> response = post(server, path, bytes);
    loop.takeStep().run();
    return received(response);
  }

  @Test
  void sendsStatusAndBodyWithoutRetryAfter() throws IOException, InterruptedException {
    JdkHttpServer server =
        start((method, path, body, responder) -> responder.respond(201, "{\"sent\":1}"));
    assertEquals(json(201, "{\"sent\":1}", Optional.empty()), exchange(server, JOBS_PATH, 2));
  }

  @Test
  void sendsRetryAfterHeader() throws IOException, InterruptedException {
    JdkHttpServer server =
        start((method, path, body, responder) -> responder.respondWithRetryAfter(503, "{}", 7));
    assertEquals(json(503, "{}", Optional.of("7")), exchange(server, JOBS_PATH, 2));
  }

  @Test
  void sendsOnlyTheFirstResponse() throws IOException, InterruptedException {
    JdkHttpServer server =
        start(
            (method, path, body, responder) -> {
              responder.respond(200, "{}");
              responder.respondWithRetryAfter(503, "{}", 7);
            });
    Received only = exchange(server, JOBS_PATH, 2);
    assertEquals(200, only.status());
    assertEquals("{}", only.body());
  }

  @Test
  void failingHandlerYieldsServiceUnavailable() throws IOException, InterruptedException {
    JdkHttpServer server =
        start(
            (method, path, body, responder) -> {
              throw new IllegalStateException("expected by the test");
            });
    assertEquals(
        json(503, "{\"error\":\"internal\"}", Optional.of("1")), exchange(server, JOBS_PATH, 2));
  }

  @Test
  void limitsBodyLength() throws IOException, InterruptedException {
    JdkHttpServer server =
        start(
            (method, path, body, responder) ->
                responder.respond(200, Integer.toString(body.length())));
    Received tooLong = json(413, "{\"error\":\"body too long\"}", Optional.empty());
    assertEquals(json(200, "65536", Optional.empty()), exchange(server, JOBS_PATH, MAX_BODY_BYTES));
    assertEquals(tooLong, received(post(server, JOBS_PATH, MAX_BODY_BYTES + 1)));
    assertEquals(
        json(200, "1048576", Optional.empty()),
        exchange(server, HEARTBEAT_PATH, MAX_HEARTBEAT_BYTES));
    CompletableFuture<HttpResponse<String>> longest =
        post(server, HEARTBEAT_PATH, MAX_HEARTBEAT_BYTES + 1);
    assertEquals(tooLong, received(longest));
    assertEquals(Optional.of("close"), longest.join().headers().firstValue("Connection"));
  }

  @Test
  void refusesBodiesBeyondThePendingLimit() throws IOException, InterruptedException {
    JdkHttpServer server = start((method, path, body, responder) -> responder.respond(200, "{}"));
    CompletableFuture<HttpResponse<String>> first = post(server, JOBS_PATH, MORE_THAN_HALF_BYTES);
    Runnable firstStep = loop.takeStep();
    assertEquals(
        json(503, "{\"error\":\"try again\"}", Optional.of("1")),
        received(post(server, JOBS_PATH, MORE_THAN_HALF_BYTES)));
    assertEquals(200, exchange(server, HEARTBEAT_PATH, MORE_THAN_HALF_BYTES).status(), "heartbeat");
    firstStep.run();
    assertEquals(200, received(first).status(), "first request");
    assertEquals(
        200, exchange(server, JOBS_PATH, MORE_THAN_HALF_BYTES).status(), "after the first");
  }
}
