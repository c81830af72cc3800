package org.mulleinshift.transport;

import java.time.Duration;

/** A moment on this process's steady clock. Never leaves the process. */
public record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {
  public MonotonicTime plus(Duration duration) {
    return new MonotonicTime(nanos + duration.toNanos());
  }

  public MonotonicTime plusMillis(long millis) {
    return new MonotonicTime(nanos + millis * 1_000_000);
  }

  public MonotonicTime minus(Duration duration) {
    return new MonotonicTime(nanos - duration.toNanos());
  }

  public Duration since(MonotonicTime earlier) {
    return Duration.ofNanos(nanos - earlier.nanos);
  }

  public double secondsSince(MonotonicTime earlier) {
    return (nanos - earlier.nanos) / 1e9;
  }

  public boolean isAfter(MonotonicTime other) {
    return nanos - other.nanos > 0;
  }

  public MonotonicTime earlierOf(MonotonicTime other) {
    return isAfter(other) ? other : this;
  }

  @Override
  public int compareTo(MonotonicTime other) {
    return Long.compare(nanos, other.nanos);
  }
}
