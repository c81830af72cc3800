package org.mulleinshift.sharding;

import java.net.InetSocketAddress;
import java.util.Optional;

/** The address at which a worker accepts direct commands and probes. */
final class WorkerAddress {
  private WorkerAddress() {}

  /**
   * Parses the {@code host:port} of a worker's heartbeats; empty if the text is not of that form.
   */
  static Optional<InetSocketAddress> parse(String text) {
    int colon = text.lastIndexOf(':');
    try {
      return Optional.of(
          new InetSocketAddress(
              text.substring(0, Math.max(0, colon)), Integer.parseInt(text.substring(colon + 1))));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
