package org.mulleinshift.scheduling;

import java.util.Optional;
import org.mulleinshift.transport.EventLoop;

/** Ranks the queue once per cycle; between cycles the order changes little and is kept. */
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

  /** The queue as last ranked; ranks it if that has not happened yet. */
  RankedQueue latest() {
    return latest.orElseGet(this::refresh);
  }

  /** Ranks the queue as it is now. */
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
