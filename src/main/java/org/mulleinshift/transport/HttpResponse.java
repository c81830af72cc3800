package org.mulleinshift.transport;

/** An answer, or the lack of one: then it is unknown whether the request was carried out. */
public record HttpResponse(int status, String body) {
  public static final HttpResponse NO_RESPONSE = new HttpResponse(0, "");

  /** Stands for the status of an answer that was longer than {@link #MAX_BODY}. */
  public static final int TOO_LONG = -1;

  /** Twice what a page of the state service holds; what is longer is not kept in memory. */
  public static final int MAX_BODY = 1 << 20;

  /** An answer as far as this node takes it. */
  public static HttpResponse bounded(int status, String body) {
    return body.length() > MAX_BODY
        ? new HttpResponse(TOO_LONG, "")
        : new HttpResponse(status, body);
  }

  public boolean answered() {
    return status != 0;
  }

  public boolean ok() {
    return status == 200;
  }
}
