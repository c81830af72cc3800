package org.mulleinshift.transport;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends requests from a fixed number of threads that make blocking calls, each with at most one
 * socket. The queue is bounded: a request that finds it full gets no response. A request's timeout
 * limits its time in the queue, the connection set-up and each read separately, so that a call may
 * take longer in total.
 */
public final class JdkAsyncHttpClient implements AsyncHttpClient {
  private static final Logger LOG = LoggerFactory.getLogger(JdkAsyncHttpClient.class);

  private final EventLoop loop;
  private final ThreadPoolExecutor threads;

  /**
   * A client with its own threads.
   *
   * @param name name of the threads
   * @param loop runs the callbacks
   * @param threadCount maximum number of requests in flight
   * @param queueLength maximum number of requests that wait for a thread
   */
  public JdkAsyncHttpClient(String name, EventLoop loop, int threadCount, int queueLength) {
    this.loop = loop;
    this.threads = DaemonThreads.pool(name, threadCount, queueLength);
  }

  @Override
  public void call(
      InetSocketAddress target, HttpRequest request, Consumer<HttpResponse> onResponse) {
    long deadlineNanos = System.nanoTime() + request.timeout().toNanos();
    try {
      threads.execute(
          () -> {
            // Not sent if it timed out in the queue, since the caller no longer needs the response.
            HttpResponse response =
                System.nanoTime() - deadlineNanos > 0
                    ? HttpResponse.NO_RESPONSE
                    : exchange(target, request);
            loop.post(() -> onResponse.accept(response));
          });
    } catch (RejectedExecutionException e) {
      loop.post(() -> onResponse.accept(HttpResponse.NO_RESPONSE));
    }
  }

  private static HttpResponse exchange(InetSocketAddress target, HttpRequest request) {
    HttpURLConnection connection = null;
    try {
      connection = open(target, request);
      if (request.body().isPresent()) {
        writeBody(connection, request.body().get());
      }
      int status = connection.getResponseCode();
      if (status < 0) {
        return HttpResponse.NO_RESPONSE;
      }
      String body = readBody(connection, status);
      if (body.length() > HttpResponse.MAX_BODY_LENGTH) {
        // The connection can't be reused, since the rest of the body is unread.
        connection.disconnect();
      }
      return HttpResponse.bounded(status, body);
    } catch (IOException e) {
      LOG.debug(
          "request failed, method={} path={} target={} error={}",
          request.method(),
          request.path(),
          target,
          e.toString());
      if (connection != null) {
        connection.disconnect();
      }
      return HttpResponse.NO_RESPONSE;
    }
  }

  private static HttpURLConnection open(InetSocketAddress target, HttpRequest request)
      throws IOException {
    URL url = new URL("http", target.getHostString(), target.getPort(), request.path());
    HttpURLConnection connection = (HttpURLConnection) url.openConnection();
    int timeoutMillis = (int) Math.max(1, request.timeout().toMillis());
    connection.setConnectTimeout(timeoutMillis);
    connection.setReadTimeout(timeoutMillis);
    connection.setInstanceFollowRedirects(false);
    connection.setUseCaches(false);
    connection.setRequestMethod(request.method());
    return connection;
  }

  private static void writeBody(HttpURLConnection connection, String body) throws IOException {
    connection.setDoOutput(true);
    connection.setRequestProperty("Content-Type", "application/json");
    // Streaming mode is not used, so that the headers and the body are sent in one write.
    try (OutputStream out = connection.getOutputStream()) {
      out.write(body.getBytes(StandardCharsets.UTF_8));
    }
  }

  private static String readBody(HttpURLConnection connection, int status) throws IOException {
    try (InputStream in =
        HttpStatus.isError(status) ? connection.getErrorStream() : connection.getInputStream()) {
      return in == null
          ? ""
          : new String(in.readNBytes(HttpResponse.MAX_BODY_LENGTH + 1), StandardCharsets.UTF_8);
    }
  }
}
