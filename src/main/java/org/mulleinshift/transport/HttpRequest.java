package org.mulleinshift.transport;

import java.time.Duration;
import java.util.Optional;

/**
 * An outgoing HTTP request.
 *
 * @param path including the query string
 * @param body JSON; empty: no body
 * @param timeout how long to wait for the response
 */
public record HttpRequest(String method, String path, Optional<String> body, Duration timeout) {
  /** A GET request. */
  public static HttpRequest get(String path, Duration timeout) {
    return new HttpRequest("GET", path, Optional.empty(), timeout);
  }

  /** A POST request. */
  public static HttpRequest post(String path, String body, Duration timeout) {
    return new HttpRequest("POST", path, Optional.of(body), timeout);
  }

  /** A DELETE request. */
  public static HttpRequest delete(String path, Duration timeout) {
    return new HttpRequest("DELETE", path, Optional.empty(), timeout);
  }
}
