package org.mulleinshift.transport;

import java.time.Duration;
import java.util.function.Consumer;

/** The single thread that owns all mutable state of a controller, with its clocks and timers. */
public interface EventLoop {
  /** Queues a step to run on the loop; may be called from any thread. */
  void post(Runnable step);

  /** Schedules a step to run on the loop after a delay; may be called only on the loop. */
  Timer after(Duration delay, Runnable step);

  /** The current time of the monotonic clock. */
  MonotonicTime now();

  /** Milliseconds since the Unix epoch; the platform settings bound the error of this clock. */
  long wallMillis();

  /** A random number from 0 (inclusive) to 1 (exclusive), for the jitter of retries. */
  double random();

  /**
   * Sets the listener that is called when the process was paused for seconds while the clocks kept
   * running. It runs before any other step and receives the length of the pause.
   */
  void onProcessPause(Consumer<Duration> listener);

  /** A scheduled step. */
  interface Timer {
    /** Prevents the step from running; no effect if it has already run. */
    void cancel();
  }
}
