package org.mulleinshift.sharding;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Where a worker takes direct commands and probes. */
final class WorkerAddress {
  private WorkerAddress() {}

  /** Parses the address that its heartbeats name; empty if that is none. */
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
