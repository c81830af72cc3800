package org.mulleinshift.simulation.time;

import java.time.Duration;
import java.util.SplittableRandom;
import org.mulleinshift.transport.ThreadEventLoop;

/**
 * Runs steps in real time on a dedicated thread, so that simulated services work with virtual and
 * real time alike. Other threads use {@link #post} to run steps on it.
 */
public final class RealTimeline implements Timeline {
  private static final double NANOS_PER_SECOND = 1e9;

  private final ThreadEventLoop loop = new ThreadEventLoop();
  private final SplittableRandom random;
  private final long startedAt = System.nanoTime();
  private final Thread thread;

  /**
   * Creates a timeline without starting its thread.
   *
   * @param name name of the thread
   */
  public RealTimeline(String name, long seed) {
    this.random = new SplittableRandom(seed);
    this.thread = new Thread(this::runLoop, name);
    this.thread.setDaemon(true);
  }

  /** Starts the thread that runs the steps. */
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

  /** Interrupts the thread; pending steps are not run. */
  public void stop() {
    thread.interrupt();
  }

  /** CPU time of the thread so far, in nanoseconds. */
  public long processorNanos() {
    return java.lang.management.ManagementFactory.getThreadMXBean()
        .getThreadCpuTime(thread.getId());
  }

  /** Queues the step to run on this timeline's thread; may be called from any thread. */
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

  /** Must be called on this timeline's thread, or before {@link #start}. */
  @Override
  public void after(double seconds, Runnable step) {
    loop.after(Duration.ofNanos((long) (Math.max(0, seconds) * NANOS_PER_SECOND)), step);
  }
}
