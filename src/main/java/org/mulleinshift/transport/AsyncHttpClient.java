package org.mulleinshift.transport;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Sends requests; the reply is handed over on the event loop, exactly once. */
public interface AsyncHttpClient {
  void call(InetSocketAddress target, HttpRequest request, Consumer<HttpResponse> reply);
}
