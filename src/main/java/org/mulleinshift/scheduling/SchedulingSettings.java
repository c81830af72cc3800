package org.mulleinshift.scheduling;

import java.util.List;
import java.util.Optional;
import org.mulleinshift.settings.ObjectiveKind;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;

/**
 * The settings of the scheduling cycle, read once.
 *
 * @param objectives service-level objectives
 * @param minimumShare part of its fair share that each class and team gets before others
 * @param preemptMaxRunSeconds a task that ran for longer is not preempted
 * @param preemptSlackSeconds a job preempts only when its last start is as near as this
 * @param assignAheadSeconds tasks are assigned to capacity that frees within this time
 * @param maxWaitSeconds the largest jobs of a class start within this time
 * @param overdueSeconds a job that is later than this counts as on time again
 */
public record SchedulingSettings(
    List<PlatformSettings.Objective> objectives,
    double minimumShare,
    double preemptMaxRunSeconds,
    double preemptSlackSeconds,
    double assignAheadSeconds,
    double maxWaitSeconds,
    double overdueSeconds) {
  /** The settings of a deployment. */
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

  /** How soon work within a guarantee should start, if an objective says so. */
  Optional<Double> guaranteeWithinSeconds() {
    return objectives.stream()
        .filter(objective -> objective.kind() == ObjectiveKind.GUARANTEE)
        .map(PlatformSettings.Objective::withinSeconds)
        .findFirst();
  }
}
