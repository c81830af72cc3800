package org.mulleinshift.transport;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes that wait at a time; may be used by several threads. */
final class InFlightBytesLimiter {
  private final long maxBytes;
  private final AtomicLong acquired = new AtomicLong();

  InFlightBytesLimiter(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Acquires so many bytes, or none of them. A request that is larger than the limit is admitted
   * when no other one waits.
   */
  boolean tryAcquire(int bytes) {
    long before = acquired.getAndAdd(bytes);
    if (before > 0 && before + bytes > maxBytes) {
      acquired.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  /** Returns what was acquired. */
  void release(int bytes) {
    acquired.addAndGet(-bytes);
  }
}
