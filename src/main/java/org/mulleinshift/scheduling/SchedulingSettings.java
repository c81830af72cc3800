package org.mulleinshift.scheduling;

import java.util.List;
import java.util.Optional;
import org.mulleinshift.settings.ObjectiveKind;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;

/**
 * The settings of the scheduling cycle.
 *
 * @param objectives service-level objectives
 * @param minimumShare part of its fair share that each class and team gets before others
 * @param preemptMaxRunSeconds tasks that have run for longer are not preempted
 * @param preemptSlackSeconds a job with a deadline preempts only if it must start within this time
 * @param assignAheadSeconds tasks are assigned to capacity that should become free within this time
 * @param maxWaitSeconds some tasks of the largest jobs of a class start after this wait, regardless
 *     of rank
 * @param overdueSeconds a job that is further past its deadline is ranked as if it were on time
 */
public record SchedulingSettings(
    List<PlatformSettings.Objective> objectives,
    double minimumShare,
    double preemptMaxRunSeconds,
    double preemptSlackSeconds,
    double assignAheadSeconds,
    double maxWaitSeconds,
    double overdueSeconds) {
  /** Reads the settings of a deployment. */
  public static SchedulingSettings of(PlatformSettings platform, Tunables tunables) {
    return new SchedulingSettings(
        platform.cluster().objectives(),
        tunables.number(Tunables.Key.MINIMUM_SHARE),
        tunables.number(Tunables.Key.PREEMPTION_MAX_RUN_S),
        tunables.number(Tunables.Key.PREEMPTION_SLACK_S),
        tunables.number(Tunables.Key.ASSIGN_AHEAD_S),
        tunables.number(Tunables.Key.MAX_WAIT_S),
        tunables.number(Tunables.Key.OVERDUE_S));
  }

  /**
   * The time within which jobs within their team's guarantee should start; empty without such an
   * objective.
   */
  Optional<Double> guaranteeWithinSeconds() {
    return objectives.stream()
        .filter(objective -> objective.kind() == ObjectiveKind.GUARANTEE)
        .map(PlatformSettings.Objective::withinSeconds)
        .findFirst();
  }
}
