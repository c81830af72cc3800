package org.mulleinshift.transport;

/** Handles HTTP requests on the event loop. */
public interface RequestHandler {
  /**
   * Handles a request. The response may be sent later.
   *
   * @param path path without the query string
   * @param body request body; may be empty
   */
  void handle(String method, String path, String body, Responder responder);
}
