package org.mulleinshift.transport;

/** Sends the single response to one request; may be called after the handler has returned. */
public interface Responder {
  /** Sends a response. */
  void respond(int status, String body);

  /** Sends a response with a {@code Retry-After} header, which tells the client when to retry. */
  void respondWithRetryAfter(int status, String body, int retryAfterSeconds);
}
