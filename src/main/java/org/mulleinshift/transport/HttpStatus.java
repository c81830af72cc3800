package org.mulleinshift.transport;

/** The HTTP status codes that controllers send and check. */
public final class HttpStatus {
  /** The request succeeded. */
  public static final int OK = 200;

  /** The request succeeded and created a resource. */
  public static final int CREATED = 201;

  /** The request is malformed. */
  public static final int BAD_REQUEST = 400;

  /** There is no such resource. */
  public static final int NOT_FOUND = 404;

  /** The resource does not support the method. */
  public static final int METHOD_NOT_ALLOWED = 405;

  /** A precondition of the request does not hold. */
  public static final int CONFLICT = 409;

  /** What the request refers to is no longer available. */
  public static final int GONE = 410;

  /** The body is longer than the server accepts. */
  public static final int CONTENT_TOO_LARGE = 413;

  /** Another controller serves such requests. */
  public static final int MISDIRECTED_REQUEST = 421;

  /** The request is well formed, but can never be carried out. */
  public static final int UNPROCESSABLE_CONTENT = 422;

  /** The client exceeds its request limit. */
  public static final int TOO_MANY_REQUESTS = 429;

  /** The request cannot be served now; the client may retry. */
  public static final int SERVICE_UNAVAILABLE = 503;

  private HttpStatus() {}

  /** Whether the status is a client or server error, so that the body describes an error. */
  static boolean isError(int status) {
    return status >= BAD_REQUEST;
  }
}
