package org.mulleinshift.simulation.time;

/** Time and chance of a simulation. Steps run one after another on the timeline's thread. */
public interface Timeline {
  /** Nanoseconds since the timeline began. */
  long nanos();

  /** Seconds since the timeline began. */
  double seconds();

  /** The next random number, from 0 to less than 1. */
  double random();

  /**
   * Runs a step later.
   *
   * @param seconds delay; a negative one counts as none
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
