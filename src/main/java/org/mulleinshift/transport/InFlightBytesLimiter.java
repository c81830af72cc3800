package org.mulleinshift.transport;

import java.util.concurrent.atomic.AtomicLong;

/** Bytes that may wait at a time, counted by several threads. */
final class InFlightBytesLimiter {
  private final long most;
  private final AtomicLong taken = new AtomicLong();

  InFlightBytesLimiter(long most) {
    this.most = most;
  }

  /** Takes so many bytes, or none of them. One that is larger than the budget passes alone. */
  boolean tryAcquire(int bytes) {
    long before = taken.getAndAdd(bytes);
    if (before > 0 && before + bytes > most) {
      taken.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  void release(int bytes) {
    taken.addAndGet(-bytes);
  }
}
