package org.mulleinshift.simulation.time;

/**
 * The clock, event queue and random numbers of a simulation. Steps run one at a time on the
 * timeline's thread.
 */
public interface Timeline {
  /** Nanoseconds since the timeline began. */
  long nanos();

  /** Seconds since the timeline began. */
  double seconds();

  /** The next random number, at least 0 and less than 1. */
  double random();

  /**
   * Runs a step after a delay.
   *
   * @param seconds delay; negative values count as 0
   */
  void after(double seconds, Runnable step);

  /**
   * Runs a step at a point in time.
   *
   * @param seconds since the timeline began
   */
  default void at(double seconds, Runnable step) {
    after(seconds - seconds(), step);
  }
}
