package org.mulleinshift.leader;

import java.time.Duration;
import org.mulleinshift.membership.LeadershipTerm;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Spaces scheduling cycles. A cycle that takes long on a busy processor comes less often, since
 * heartbeats, lease renewals and submissions share the event loop with it.
 */
final class CycleScheduler {
  /** Time between two cycles, in durations of the last one. */
  private static final int MIN_PAUSE_FACTOR = 4;

  /** Changes that come in quick succession share a cycle. */
  private static final Duration MIN_DELAY = Duration.ofMillis(5);

  private final EventLoop loop;
  private final LeadershipTerm term;
  private final Duration interval;
  private final Runnable cycle;
  private MonotonicTime lastStart;
  private Duration lastDuration = Duration.ZERO;
  private boolean scheduled;

  CycleScheduler(EventLoop loop, LeadershipTerm term, Duration interval, Runnable cycle) {
    this.loop = loop;
    this.term = term;
    this.interval = interval;
    this.cycle = cycle;
    this.lastStart = loop.now();
  }

  /** Runs a cycle as soon as the spacing allows. */
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
    Duration pause = lastDuration.multipliedBy(MIN_PAUSE_FACTOR);
    Duration spacing = pause.compareTo(interval) > 0 ? pause : interval;
    Duration elapsed = loop.now().since(lastStart);
    return elapsed.compareTo(spacing) >= 0 ? MIN_DELAY : spacing.minus(elapsed);
  }

  private void run() {
    if (!term.isActive() || !term.hasValidLease()) {
      return;
    }
    lastStart = loop.now();
    cycle.run();
    lastDuration = loop.now().since(lastStart);
  }
}
