package org.mulleinshift.transport;

/** The HTTP status codes that controllers send and check. */
public final class HttpStatus {
  /** The request succeeded. */
  public static final int OK = 200;

  /** The request succeeded and created something. */
  public static final int CREATED = 201;

  /** The request is malformed. */
  public static final int BAD_REQUEST = 400;

  /** There is no such resource. */
  public static final int NOT_FOUND = 404;

  /** The body is longer than the server accepts. */
  public static final int CONTENT_TOO_LARGE = 413;

  /** The request is well formed, but can never be carried out. */
  public static final int UNPROCESSABLE_CONTENT = 422;

  /** The request can't be answered now; the client may retry. */
  public static final int SERVICE_UNAVAILABLE = 503;

  private HttpStatus() {}

  /** Whether a response with this status has an error as its body. */
  static boolean isError(int status) {
    return status >= BAD_REQUEST;
  }
}
