package org.mulleinshift.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/** An event loop in virtual time: a test runs its steps and advances its clock. */
public final class VirtualEventLoop implements EventLoop {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private record ScheduledStep(long dueNanos, long sequence, Runnable run) {}

  private final PriorityQueue<ScheduledStep> steps =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledStep::dueNanos)
              .thenComparingLong(ScheduledStep::sequence));
  private long nowNanos;
  private long sequence;

  /** Advances the clock by the given time and runs the steps due within it, in order. */
  public void runFor(double seconds) {
    long end = nowNanos + (long) (seconds * NANOS_PER_SECOND);
    while (!steps.isEmpty() && steps.peek().dueNanos <= end) {
      ScheduledStep next = steps.poll();
      nowNanos = next.dueNanos;
      next.run.run();
    }
    nowNanos = end;
  }

  @Override
  public void post(Runnable step) {
    after(Duration.ZERO, step);
  }

  @Override
  public Timer after(Duration delay, Runnable step) {
    steps.add(new ScheduledStep(nowNanos + delay.toNanos(), sequence++, step));
    return () -> {};
  }

  @Override
  public MonotonicTime now() {
    return new MonotonicTime(nowNanos);
  }

  @Override
  public long wallMillis() {
    return nowNanos / NANOS_PER_MILLI;
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
