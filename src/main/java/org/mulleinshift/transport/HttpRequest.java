package org.mulleinshift.transport;

import java.time.Duration;
import java.util.Optional;

/** A request to an outside system. */
public record HttpRequest(String method, String path, Optional<String> body, Duration deadline) {
  public static HttpRequest get(String path, Duration deadline) {
    return new HttpRequest("GET", path, Optional.empty(), deadline);
  }

  public static HttpRequest post(String path, String body, Duration deadline) {
    return new HttpRequest("POST", path, Optional.of(body), deadline);
  }

  public static HttpRequest delete(String path, Duration deadline) {
    return new HttpRequest("DELETE", path, Optional.empty(), deadline);
  }
}
