package org.mulleinshift.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/** An event loop in virtual time: a test runs its steps and moves its clock. */
public final class VirtualEventLoop implements EventLoop {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private record Step(long at, long order, Runnable run) {}

  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(Comparator.comparingLong(Step::at).thenComparingLong(Step::order));
  private long now;
  private long order;

  /** Runs the steps that are due within the next seconds, in the order of their times. */
  public void runFor(double seconds) {
    long end = now + (long) (seconds * NANOS_PER_SECOND);
    while (!steps.isEmpty() && steps.peek().at <= end) {
      Step next = steps.poll();
      now = next.at;
      next.run.run();
    }
    now = end;
  }

  @Override
  public void post(Runnable step) {
    after(Duration.ZERO, step);
  }

  @Override
  public Timer after(Duration delay, Runnable step) {
    steps.add(new Step(now + delay.toNanos(), order++, step));
    return () -> {};
  }

  @Override
  public MonotonicTime now() {
    return new MonotonicTime(now);
  }

  @Override
  public long wallMillis() {
    return now / NANOS_PER_MILLI;
  }

  @Override
  public double random() {
    return 0.5;
  }

  @Override
  public void onProcessPause(Consumer<Duration> listener) {
    // Never paused.
  }
}
