package org.mulleinshift.transport;

/** Handles requests on the event loop. */
public interface RequestHandler {
  /**
   * Handles a request.
   *
   * @param path without the query
   * @param body may be empty
   */
  void handle(String method, String path, String body, Responder responder);
}
