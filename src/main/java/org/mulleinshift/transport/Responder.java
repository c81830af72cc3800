package org.mulleinshift.transport;

/** Answers one request, once; may be called later than the handler returns. */
public interface Responder {
  void respond(int status, String body);

  /** An answer that tells when to come back. */
  void respondLater(int status, String body, int retryAfterSeconds);
}
