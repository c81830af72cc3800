package org.mulleinshift.transport;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Sends HTTP requests without blocking the event loop. */
public interface AsyncHttpClient {
  /**
   * Sends a request. The response is handed over on the event loop, exactly once; {@link
   * HttpResponse#NO_RESPONSE} if there is none by the deadline.
   */
  void call(InetSocketAddress target, HttpRequest request, Consumer<HttpResponse> onResponse);
}
