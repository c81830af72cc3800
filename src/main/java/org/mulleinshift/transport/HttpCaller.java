package org.mulleinshift.transport;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Sends requests; the reply is handed over on the event loop, exactly once. */
public interface HttpCaller {
  void call(InetSocketAddress target, HttpRequest request, Consumer<HttpReply> reply);
}
