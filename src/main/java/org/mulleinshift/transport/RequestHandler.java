package org.mulleinshift.transport;

/** Takes requests on the event loop. */
public interface RequestHandler {
  void handle(String method, String path, String body, Responder responder);
}
