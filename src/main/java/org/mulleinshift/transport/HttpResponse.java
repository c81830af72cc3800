package org.mulleinshift.transport;

/**
 * An HTTP response, or {@link #NO_RESPONSE}; without one it is unknown whether the request was
 * carried out.
 */
public record HttpResponse(int status, String body) {
  /** Stands for a call that failed or timed out. */
  public static final HttpResponse NO_RESPONSE = new HttpResponse(0, "");

  /** Replaces the status of a response whose body exceeds {@link #MAX_BODY_LENGTH}. */
  public static final int TOO_LONG = -1;

  /** Twice the size of a page of the key-value store; longer bodies are discarded. */
  public static final int MAX_BODY_LENGTH = 1 << 20;

  /** A response with this body, or with {@link #TOO_LONG} and no body if it exceeds the limit. */
  public static HttpResponse bounded(int status, String body) {
    return body.length() > MAX_BODY_LENGTH
        ? new HttpResponse(TOO_LONG, "")
        : new HttpResponse(status, body);
  }

  /** Whether a response was received, whatever its status. */
  public boolean isReceived() {
    return status != NO_RESPONSE.status;
  }

  /** Whether the status is 200. */
  public boolean isOk() {
    return status == HttpStatus.OK;
  }
}
