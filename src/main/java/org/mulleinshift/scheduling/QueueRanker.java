package org.mulleinshift.scheduling;

import java.util.Optional;
import org.mulleinshift.transport.EventLoop;

/**
 * Ranks the queue once per cycle and keeps the result until the next, since the order changes
 * little between cycles.
 */
final class QueueRanker {
  private final EventLoop loop;
  private final ClusterState state;
  private final MinimumShares minimumShares;
  private final Tardiness tardiness;
  private Optional<RankedQueue> latest = Optional.empty();

  QueueRanker(EventLoop loop, ClusterState state, SchedulingSettings settings) {
    this.loop = loop;
    this.state = state;
    this.minimumShares = new MinimumShares(state, settings.minimumShare());
    this.tardiness =
        new Tardiness(state.runTimes(), settings.objectives(), settings.overdueSeconds());
  }

  /** The latest ranking; computed now if there is none yet. */
  RankedQueue latest() {
    return latest.orElseGet(this::refresh);
  }

  /** Ranks the queue by its current state. */
  RankedQueue refresh() {
    ShareSnapshot shares =
        minimumShares.snapshot(state.jobs().all(), state.usageByTeam(), loop.now());
    JobRanking ranking =
        JobRanking.of(
            state.jobs().all(),
            state.failures()::isJobFailing,
            state.quotas(),
            tardiness,
            shares,
            loop.wallMillis());
    RankedQueue ranked = new RankedQueue(ranking, shares);
    latest = Optional.of(ranked);
    return ranked;
  }
}
