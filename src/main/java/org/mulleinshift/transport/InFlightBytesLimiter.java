package org.mulleinshift.transport;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the total size of requests that are pending at a time. Thread-safe. */
final class InFlightBytesLimiter {
  private final long maxBytes;
  private final AtomicLong acquired = new AtomicLong();

  InFlightBytesLimiter(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Acquires all of the bytes or none. A request that is larger than the limit is admitted when no
   * other request is pending.
   */
  boolean tryAcquire(int bytes) {
    long before = acquired.getAndAdd(bytes);
    if (before > 0 && before + bytes > maxBytes) {
      acquired.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  /** Returns bytes that were acquired. */
  void release(int bytes) {
    acquired.addAndGet(-bytes);
  }
}
