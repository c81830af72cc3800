package org.mulleinshift.transport;

/** Responds to one request, once; may be called after the handler has returned. */
public interface Responder {
  /** Sends a response. */
  void respond(int status, String body);

  /** Sends a response that names the time after which the client should retry. */
  void respondWithRetryAfter(int status, String body, int retryAfterSeconds);
}
