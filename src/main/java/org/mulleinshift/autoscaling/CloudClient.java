package org.mulleinshift.autoscaling;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;
import org.mulleinshift.transport.RateLimiter;

/**
 * The cloud's API as one controller may use it.
 *
 * @param http sends the requests
 * @param address where the API listens
 * @param limiter this controller's share of the cloud's request rate
 */
public record CloudClient(AsyncHttpClient http, InetSocketAddress address, RateLimiter limiter) {
  /** The share of the cloud's request rate that one controller uses; the rest is for its peers. */
  private static final double REQUEST_SHARE = 0.6;

  /** A client that keeps to its share of the cloud's request rate. */
  public static CloudClient withRateLimit(
      EventLoop loop, AsyncHttpClient http, InetSocketAddress address, double requestsPerSecond) {
    return new CloudClient(http, address, new RateLimiter(loop, requestsPerSecond * REQUEST_SHARE));
  }

  /** Sends a request; the consumer gets the response, or the lack of one. */
  void send(HttpRequest request, Consumer<HttpResponse> onResponse) {
    http.call(address, request, onResponse);
  }
}
