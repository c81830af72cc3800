package org.mulleinshift.transport;

import java.time.Duration;
import java.util.function.Consumer;

/** The one thread that owns all mutable state, its clocks and its timers. */
public interface EventLoop {
  /** Runs the step on the loop; may be called from any thread. */
  void post(Runnable step);

  /** Runs the step on the loop once the time has passed; call it on the loop only. */
  Timer after(Duration delay, Runnable step);

  MonotonicTime now();

  /** Time of day, as exact as the platform's bound. */
  long wallMillis();

  /** A random number from 0 to 1, for spacing retries. */
  double random();

  /**
   * Calls the listener before anything else once the process has stood still for seconds while the
   * clocks ran on.
   */
  void onProcessPause(Consumer<Duration> listener);

  /** A timer that can be called off. */
  interface Timer {
    void cancel();
  }
}
