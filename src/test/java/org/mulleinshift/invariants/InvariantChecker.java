package org.mulleinshift.invariants;

import java.util.Map;
import org.mulleinshift.simulation.time.Timeline;

/**
 * Checks the protocol's invariants from outside the controllers: against the tasks that really run
 * on machines and the responses that users really receive.
 */
public final class InvariantChecker {
  private final ObservedJobs jobs = new ObservedJobs();
  private final Violations violations;
  private final RunningTasks tasks;
  private final ReportedPhases reportedPhases;

  /**
   * Checks a single cluster.
   *
   * @param teamLimits processors that each team may use; 0 for any number
   * @param cancelSeconds time from the report of a cancellation in which all tasks must end
   */
  public InvariantChecker(Timeline timeline, Map<String, Double> teamLimits, double cancelSeconds) {
    this(timeline, teamLimits, cancelSeconds, new TeamUsage());
  }

  /**
   * Checks one of several cells: clusters that share the limits of the teams.
   *
   * @param teamLimits processors that each team may use over all cells; 0 for any number
   * @param cancelSeconds time from the report of a cancellation in which all tasks must end
   * @param usage processors that the teams use over all cells
   */
  public InvariantChecker(
      Timeline timeline, Map<String, Double> teamLimits, double cancelSeconds, TeamUsage usage) {
    violations = new Violations(timeline);
    tasks =
        new RunningTasks(
            timeline,
            jobs,
            violations,
            new RunningTasks.TeamQuota(teamLimits, usage),
            cancelSeconds);
    reportedPhases = new ReportedPhases(timeline, jobs, violations, cancelSeconds);
  }

  /** The jobs that users submit. */
  public ObservedJobs jobs() {
    return jobs;
  }

  /** The tasks that run on machines. */
  public RunningTasks tasks() {
    return tasks;
  }

  /** The phases that users read of their jobs. */
  public ReportedPhases reportedPhases() {
    return reportedPhases;
  }

  /** The violations found so far. */
  public Violations violations() {
    return violations;
  }

  /**
   * Checks what must hold at the end of a simulation.
   *
   * @param faultsOverAt when the last fault was over, seconds
   */
  public void checkAtEnd(double faultsOverAt) {
    reportedPhases.checkAtEnd(faultsOverAt);
    tasks.checkAtEnd();
  }
}
