package org.mulleinshift.simulation;

/** HTTP status codes that the simulated services and controllers respond with. */
final class HttpStatus {
  static final int OK = 200;
  static final int CREATED = 201;
  static final int BAD_REQUEST = 400;
  static final int NOT_FOUND = 404;
  static final int CONFLICT = 409;
  static final int GONE = 410;
  static final int MISDIRECTED = 421;
  static final int UNPROCESSABLE = 422;
  static final int TOO_MANY_REQUESTS = 429;
  static final int UNAVAILABLE = 503;

  private HttpStatus() {}
}
