package org.mulleinshift.transport;

import java.time.Duration;
import java.util.function.Consumer;

/** The one thread that owns all mutable state, with its clocks and timers. */
public interface EventLoop {
  /** Runs the step on the loop; may be called from any thread. */
  void post(Runnable step);

  /** Runs the step on the loop once the time has passed; call it on the loop only. */
  Timer after(Duration delay, Runnable step);

  /** The time on the steady clock. */
  MonotonicTime now();

  /** Time of day in milliseconds; its error stays within the bound of the platform settings. */
  long wallMillis();

  /** A random number from 0 (inclusive) to 1 (exclusive), for spacing retries. */
  double random();

  /**
   * Sets the listener that is called, before any other step, when the process was paused for
   * seconds while the clocks ran on.
   */
  void onProcessPause(Consumer<Duration> listener);

  /** A step that is due later. */
  interface Timer {
    /** The step is not run, unless it has been already. */
    void cancel();
  }
}
