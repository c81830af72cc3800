package org.mulleinshift.autoscaling;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;
import org.mulleinshift.transport.RateLimiter;

/**
 * Client of the cloud's API for one controller.
 *
 * @param http sends the requests
 * @param address address of the API
 * @param limiter this controller's share of the cloud's request rate; callers acquire from it
 *     before they send
 */
public record CloudClient(AsyncHttpClient http, InetSocketAddress address, RateLimiter limiter) {
  /** Share of the cloud's request rate that one controller uses; the rest is for its peers. */
  private static final double REQUEST_SHARE = 0.6;

  /** Creates a client whose limiter admits one controller's share of the cloud's request rate. */
  public static CloudClient withRateLimit(
      EventLoop loop, AsyncHttpClient http, InetSocketAddress address, double requestsPerSecond) {
    return new CloudClient(http, address, new RateLimiter(loop, requestsPerSecond * REQUEST_SHARE));
  }

  /** Sends a request; the consumer gets the response, or {@link HttpResponse#NO_RESPONSE}. */
  void send(HttpRequest request, Consumer<HttpResponse> onResponse) {
    http.call(address, request, onResponse);
  }
}
