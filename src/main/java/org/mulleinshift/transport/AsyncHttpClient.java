package org.mulleinshift.transport;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Sends HTTP requests without blocking the event loop. */
public interface AsyncHttpClient {
  /**
   * Sends a request. The callback runs exactly once, on the event loop, with {@link
   * HttpResponse#NO_RESPONSE} if the call failed or timed out.
   */
  void call(InetSocketAddress target, HttpRequest request, Consumer<HttpResponse> onResponse);
}
