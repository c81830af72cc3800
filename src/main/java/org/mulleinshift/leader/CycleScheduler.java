package org.mulleinshift.leader;

import java.time.Duration;
import org.mulleinshift.membership.LeadershipTerm;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Limits how often scheduling cycles run. Cycles that take long, for example on a busy processor,
 * run less often, since heartbeats, lease renewals and submissions share the event loop with them.
 */
final class CycleScheduler {
  /** Minimum time between the starts of two cycles, as a multiple of the last cycle's duration. */
  private static final int MIN_INTERVAL_FACTOR = 4;

  /** Delay before a cycle that is due, so that changes in quick succession share it. */
  private static final Duration COALESCING_DELAY = Duration.ofMillis(5);

  private final EventLoop loop;
  private final LeadershipTerm term;
  private final Duration interval;
  private final Runnable cycle;
  private MonotonicTime lastStartedAt;
  private Duration lastDuration = Duration.ZERO;
  private boolean scheduled;

  CycleScheduler(EventLoop loop, LeadershipTerm term, Duration interval, Runnable cycle) {
    this.loop = loop;
    this.term = term;
    this.interval = interval;
    this.cycle = cycle;
    this.lastStartedAt = loop.now();
  }

  /** Runs a cycle once the minimum interval has passed, unless one is already scheduled. */
  void schedule() {
    if (scheduled || !term.isActive()) {
      return;
    }
    scheduled = true;
    loop.after(
        delay(),
        () -> {
          scheduled = false;
          run();
        });
  }

  private Duration delay() {
    Duration proportional = lastDuration.multipliedBy(MIN_INTERVAL_FACTOR);
    Duration minInterval = proportional.compareTo(interval) > 0 ? proportional : interval;
    Duration elapsed = loop.now().since(lastStartedAt);
    return elapsed.compareTo(minInterval) >= 0 ? COALESCING_DELAY : minInterval.minus(elapsed);
  }

  private void run() {
    if (!term.isActive() || !term.hasValidLease()) {
      return;
    }
    lastStartedAt = loop.now();
    cycle.run();
    lastDuration = loop.now().since(lastStartedAt);
  }
}
