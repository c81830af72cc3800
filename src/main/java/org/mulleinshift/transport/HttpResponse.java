package org.mulleinshift.transport;

/** A response, or the lack of one: then it is unknown whether the request was carried out. */
public record HttpResponse(int status, String body) {
  /** No response came. */
  public static final HttpResponse NO_RESPONSE = new HttpResponse(0, "");

  /** Stands for the status of a response that was longer than {@link #MAX_BODY_LENGTH}. */
  public static final int TOO_LONG = -1;

  /** Twice the size of a page of the key-value store; longer bodies are not kept in memory. */
  public static final int MAX_BODY_LENGTH = 1 << 20;

  /** The response, or {@link #TOO_LONG} without its body. */
  public static HttpResponse bounded(int status, String body) {
    return body.length() > MAX_BODY_LENGTH
        ? new HttpResponse(TOO_LONG, "")
        : new HttpResponse(status, body);
  }

  /** Whether any response came. */
  public boolean isReceived() {
    return status != NO_RESPONSE.status;
  }

  /** Whether the request succeeded. */
  public boolean isOk() {
    return status == HttpStatus.OK;
  }
}
