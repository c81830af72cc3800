package org.mulleinshift.sim;

import java.time.Duration;
import java.util.SplittableRandom;
import org.mulleinshift.transport.ThreadEventLoop;

/**
 * Real time for the stand-ins: one thread of its own runs their steps, so that they may be written
 * as in virtual time. Messages of other threads come in by {@link #post}.
 */
final class RealTimeWorld extends World {
  private final ThreadEventLoop loop = new ThreadEventLoop();
  private final SplittableRandom random;
  private final long startedAt = System.nanoTime();
  private final Thread thread;

  RealTimeWorld(String name, long seed) {
    super(seed);
    this.random = new SplittableRandom(seed);
    this.thread = new Thread(this::runLoop, name);
    this.thread.setDaemon(true);
  }

  void start() {
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
  void stop() {
    thread.interrupt();
  }

  /** Processor time of the thread so far, in nanoseconds. */
  long processorNanos() {
    return java.lang.management.ManagementFactory.getThreadMXBean()
        .getThreadCpuTime(thread.getId());
  }

  /** Runs the step on this world's thread; may be called from any thread. */
  void post(Runnable step) {
    loop.post(step);
  }

  @Override
  long nanos() {
    return System.nanoTime() - startedAt;
  }

  @Override
  double seconds() {
    return nanos() / 1e9;
  }

  @Override
  double random() {
    return random.nextDouble();
  }

  /** Call it on this world's thread, or before {@link #start}. */
  @Override
  void after(double seconds, Runnable step) {
    loop.after(Duration.ofNanos((long) (Math.max(0, seconds) * 1e9)), step);
  }
}
