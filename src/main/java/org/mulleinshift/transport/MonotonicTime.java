package org.mulleinshift.transport;

import java.time.Duration;

/**
 * A point in time on this process's monotonic clock. It has no meaning outside the process.
 *
 * @param nanos nanoseconds since an arbitrary origin
 */
public record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double NANOS_PER_SECOND = 1e9;

  /** This time plus the duration. */
  public MonotonicTime plus(Duration duration) {
    return new MonotonicTime(nanos + duration.toNanos());
  }

  /** This time plus the milliseconds. */
  public MonotonicTime plusMillis(long millis) {
    return new MonotonicTime(nanos + millis * NANOS_PER_MILLI);
  }

  /** This time minus the duration. */
  public MonotonicTime minus(Duration duration) {
    return new MonotonicTime(nanos - duration.toNanos());
  }

  /** The duration from another time to this one; negative if the other is later. */
  public Duration since(MonotonicTime earlier) {
    return Duration.ofNanos(nanos - earlier.nanos);
  }

  /** The seconds from another time to this one; negative if the other is later. */
  public double secondsSince(MonotonicTime earlier) {
    return (nanos - earlier.nanos) / NANOS_PER_SECOND;
  }

  /** Whether this time is after the other; correct even if the clock's value overflows. */
  public boolean isAfter(MonotonicTime other) {
    return nanos - other.nanos > 0;
  }

  /** The earlier of the two times. */
  public MonotonicTime earlierOf(MonotonicTime other) {
    return isAfter(other) ? other : this;
  }

  @Override
  public int compareTo(MonotonicTime other) {
    return Long.compare(nanos, other.nanos);
  }
}
