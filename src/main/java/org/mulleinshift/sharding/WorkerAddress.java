package org.mulleinshift.sharding;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Where a worker takes direct orders and questions. */
final class WorkerAddress {
  private WorkerAddress() {}

  /** By the text of its reports; none if that is not an address. */
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
