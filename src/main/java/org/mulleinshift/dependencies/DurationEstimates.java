package org.mulleinshift.dependencies;

import org.mulleinshift.model.Job;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.scheduling.RunTimeEstimator;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/** How long jobs should still take, and those that wait for them. */
final class DurationEstimates {
  /** The last of a job's tasks takes longer than the mean. */
  private static final double SLOWEST_TASK_FACTOR = 1.3;

  /**
   * From a job's last end until the tasks of the next one run: storing the end, publishing the
   * assignments, fetching the image.
   */
  private static final double DEPENDENT_START_DELAY_SECONDS = 5;

  private final EventLoop loop;
  private final RunTimeEstimator runTimes;

  DurationEstimates(EventLoop loop, RunTimeEstimator runTimes) {
    this.loop = loop;
    this.runTimes = runTimes;
  }

  /**
   * Seconds until the dependents of a job can run.
   *
   * @param job the job
   * @param secondsUntilRelease until the job itself is released
   */
  double secondsUntilDependentsRun(Job job, double secondsUntilRelease) {
    return secondsUntilRelease
        + SLOWEST_TASK_FACTOR * runTimes.expectedSeconds(job)
        + DEPENDENT_START_DELAY_SECONDS;
  }

  /** Seconds that any of the job's tasks should still take at most, if those waiting start now. */
  double remainingSeconds(Job job) {
    if (job.state() != Job.State.ACTIVE) {
      return Double.MAX_VALUE;
    }
    double expected = runTimes.expectedSeconds(job);
    double remaining = job.waitingCount() > 0 ? expected : 0;
    MonotonicTime now = loop.now();
    for (TaskAssignment assignment : job.assignments()) {
      double ran = assignment.runningSince().map(now::secondsSince).orElse(0.0);
      remaining = Math.max(remaining, RunTimeEstimator.remaining(expected, ran));
    }
    return remaining;
  }
}
