package org.mulleinshift.transport;

import java.time.Duration;
import java.util.Optional;

/**
 * A request to another system.
 *
 * @param path with the query
 * @param body JSON; empty: none
 * @param deadline after which the response is no longer awaited
 */
public record HttpRequest(String method, String path, Optional<String> body, Duration deadline) {
  /** A GET request. */
  public static HttpRequest get(String path, Duration deadline) {
    return new HttpRequest("GET", path, Optional.empty(), deadline);
  }

  /** A POST request. */
  public static HttpRequest post(String path, String body, Duration deadline) {
    return new HttpRequest("POST", path, Optional.of(body), deadline);
  }

  /** A DELETE request. */
  public static HttpRequest delete(String path, Duration deadline) {
    return new HttpRequest("DELETE", path, Optional.empty(), deadline);
  }
}
