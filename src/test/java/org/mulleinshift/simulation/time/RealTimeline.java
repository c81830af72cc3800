package org.mulleinshift.simulation.time;

import java.time.Duration;
import java.util.SplittableRandom;
import org.mulleinshift.transport.ThreadEventLoop;

/**
 * Real time: a thread of its own runs the steps, so that simulated services may be written as in
 * virtual time. Other threads hand over their messages by {@link #post}.
 */
public final class RealTimeline implements Timeline {
  private static final double NANOS_PER_SECOND = 1e9;

  private final ThreadEventLoop loop = new ThreadEventLoop();
  private final SplittableRandom random;
  private final long startedAt = System.nanoTime();
  private final Thread thread;

  /**
   * A timeline that does not run yet.
   *
   * @param name of its thread
   */
  public RealTimeline(String name, long seed) {
    this.random = new SplittableRandom(seed);
    this.thread = new Thread(this::runLoop, name);
    this.thread.setDaemon(true);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  private void runLoop() {
    try {
      loop.run();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends the thread; steps that wait are not run. */
  public void stop() {
    thread.interrupt();
  }

  /** Processor time of the thread so far, in nanoseconds. */
  public long processorNanos() {
    return java.lang.management.ManagementFactory.getThreadMXBean()
        .getThreadCpuTime(thread.getId());
  }

  /** Runs the step on this timeline's thread; may be called from any thread. */
  public void post(Runnable step) {
    loop.post(step);
  }

  @Override
  public long nanos() {
    return System.nanoTime() - startedAt;
  }

  @Override
  public double seconds() {
    return nanos() / NANOS_PER_SECOND;
  }

  @Override
  public double random() {
    return random.nextDouble();
  }

  /** Call it on this timeline's thread, or before {@link #start}. */
  @Override
  public void after(double seconds, Runnable step) {
    loop.after(Duration.ofNanos((long) (Math.max(0, seconds) * NANOS_PER_SECOND)), step);
  }
}
