package org.mulleinshift.transport;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A few threads that make blocking calls, each of which holds at most one socket. The queue is
 * bounded: a call that finds it full counts as never answered.
 */
public final class JdkAsyncHttpClient implements AsyncHttpClient {
  private static final Logger LOG = LoggerFactory.getLogger(JdkAsyncHttpClient.class);
  private static final int STACK_BYTES = 192 * 1024;

  private final EventLoop loop;
  private final ThreadPoolExecutor threads;

  public JdkAsyncHttpClient(String name, EventLoop loop, int threadCount, int queueLength) {
    this.loop = loop;
    this.threads =
        new ThreadPoolExecutor(
            threadCount,
            threadCount,
            30,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(queueLength),
            step -> {
              Thread thread = new Thread(null, step, name, STACK_BYTES);
              thread.setDaemon(true);
              return thread;
            });
  }

  @Override
  public void call(InetSocketAddress target, HttpRequest request, Consumer<HttpResponse> reply) {
    long givenUpAt = System.nanoTime() + request.deadline().toNanos();
    try {
      threads.execute(
          () -> {
            // A call that waited past its deadline is not sent: its caller has moved on.
            HttpResponse result =
                System.nanoTime() - givenUpAt > 0
                    ? HttpResponse.NO_RESPONSE
                    : exchange(target, request);
            loop.post(() -> reply.accept(result));
          });
    } catch (RejectedExecutionException e) {
      loop.post(() -> reply.accept(HttpResponse.NO_RESPONSE));
    }
  }

  private static HttpResponse exchange(InetSocketAddress target, HttpRequest request) {
    HttpURLConnection connection = null;
    try {
      URL url = new URL("http", target.getHostString(), target.getPort(), request.path());
      connection = (HttpURLConnection) url.openConnection();
      int millis = (int) Math.max(1, request.deadline().toMillis());
      connection.setConnectTimeout(millis);
      connection.setReadTimeout(millis);
      connection.setInstanceFollowRedirects(false);
      connection.setUseCaches(false);
      connection.setRequestMethod(request.method());
      if (request.body().isPresent()) {
        byte[] bytes = request.body().get().getBytes(StandardCharsets.UTF_8);
        connection.setDoOutput(true);
        connection.setRequestProperty("Content-Type", "application/json");
        // Not streamed: so that head and body leave in one write.
        try (OutputStream out = connection.getOutputStream()) {
          out.write(bytes);
        }
      }
      int status = connection.getResponseCode();
      if (status < 0) {
        return HttpResponse.NO_RESPONSE;
      }
      String body = readBody(connection, status);
      if (body.length() > HttpResponse.MAX_BODY) {
        // The rest is still to come on this connection.
        connection.disconnect();
      }
      return HttpResponse.bounded(status, body);
    } catch (IOException e) {
      LOG.debug("{} {} at {}: {}", request.method(), request.path(), target, e.toString());
      if (connection != null) {
        connection.disconnect();
      }
      return HttpResponse.NO_RESPONSE;
    }
  }

  private static String readBody(HttpURLConnection connection, int status) throws IOException {
    try (InputStream in =
        status >= 400 ? connection.getErrorStream() : connection.getInputStream()) {
      return in == null
          ? ""
          : new String(in.readNBytes(HttpResponse.MAX_BODY + 1), StandardCharsets.UTF_8);
    }
  }
}
