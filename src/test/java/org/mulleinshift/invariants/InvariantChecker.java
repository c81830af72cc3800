package org.mulleinshift.invariants;

import java.util.Map;
import org.mulleinshift.simulation.time.Timeline;

/**
 * Checks the rules of the protocol from outside the controllers: it sees what truly runs and what
 * users truly read.
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
   * Checks one of several cells.
   *
   * @param teamLimits processors that each team may use over all cells
   * @param usage what the teams use over all cells
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

  /** What users are told. */
  public ReportedPhases reportedPhases() {
    return reportedPhases;
  }

  /** The rules that were broken. */
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
