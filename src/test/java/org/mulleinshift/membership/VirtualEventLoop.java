package org.mulleinshift.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/** A loop in virtual time. */
public final class VirtualEventLoop implements EventLoop {
  private record Step(long at, long order, Runnable run) {}

  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(Comparator.comparingLong(Step::at).thenComparingLong(Step::order));
  private long now;
  private long order;

  public void runFor(double seconds) {
    long end = now + (long) (seconds * 1e9);
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
    return now / 1_000_000;
  }

  @Override
  public double random() {
    return 0.5;
  }

  @Override
  public void onProcessPause(Consumer<Duration> listener) {
    // Never stands still.
  }
}
