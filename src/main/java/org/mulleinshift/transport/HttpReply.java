package org.mulleinshift.transport;

/** An answer, or the lack of one: then it is unknown whether the request was carried out. */
public record HttpReply(int status, String body) {
  public static final HttpReply NONE = new HttpReply(0, "");

  public boolean answered() {
    return status != 0;
  }

  public boolean ok() {
    return status == 200;
  }
}
