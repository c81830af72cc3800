package org.mulleinshift.transport;

import java.time.Duration;

/** A moment on this process's steady clock. Never leaves the process. */
public record SteadyTime(long nanos) implements Comparable<SteadyTime> {
  public SteadyTime plus(Duration duration) {
    return new SteadyTime(nanos + duration.toNanos());
  }

  public SteadyTime plusMillis(long millis) {
    return new SteadyTime(nanos + millis * 1_000_000);
  }

  public SteadyTime minus(Duration duration) {
    return new SteadyTime(nanos - duration.toNanos());
  }

  public Duration since(SteadyTime earlier) {
    return Duration.ofNanos(nanos - earlier.nanos);
  }

  public double secondsSince(SteadyTime earlier) {
    return (nanos - earlier.nanos) / 1e9;
  }

  public boolean isAfter(SteadyTime other) {
    return nanos - other.nanos > 0;
  }

  public SteadyTime earlier(SteadyTime other) {
    return isAfter(other) ? other : this;
  }

  @Override
  public int compareTo(SteadyTime other) {
    return Long.compare(nanos, other.nanos);
  }
}
