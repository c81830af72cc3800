package org.mulleinshift.transport;

import java.time.Duration;

/**
 * A moment on this process's steady clock. It has no meaning outside of the process.
 *
 * @param nanos since an arbitrary origin
 */
public record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double NANOS_PER_SECOND = 1e9;

  /** The moment so much later. */
  public MonotonicTime plus(Duration duration) {
    return new MonotonicTime(nanos + duration.toNanos());
  }

  /** The moment so many milliseconds later. */
  public MonotonicTime plusMillis(long millis) {
    return new MonotonicTime(nanos + millis * NANOS_PER_MILLI);
  }

  /** The moment so much earlier. */
  public MonotonicTime minus(Duration duration) {
    return new MonotonicTime(nanos - duration.toNanos());
  }

  /** The time since an earlier moment; negative if that one is later. */
  public Duration since(MonotonicTime earlier) {
    return Duration.ofNanos(nanos - earlier.nanos);
  }

  /** The seconds since an earlier moment; negative if that one is later. */
  public double secondsSince(MonotonicTime earlier) {
    return (nanos - earlier.nanos) / NANOS_PER_SECOND;
  }

  /** Whether this moment is later; right also when the clock's number overflows. */
  public boolean isAfter(MonotonicTime other) {
    return nanos - other.nanos > 0;
  }

  /** The earlier of both. */
  public MonotonicTime earlierOf(MonotonicTime other) {
    return isAfter(other) ? other : this;
  }

  @Override
  public int compareTo(MonotonicTime other) {
    return Long.compare(nanos, other.nanos);
  }
}
