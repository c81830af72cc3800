package org.mulleinshift.dependencies;

import org.mulleinshift.model.Job;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.scheduling.RunTimeEstimator;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/** Estimates how long active jobs still take, and when the dependents of a job can run. */
final class DurationEstimates {
  /** Expected run time of a job's slowest task, relative to the mean. */
  private static final double SLOWEST_TASK_FACTOR = 1.3;

  /**
   * Estimated delay between the end of a job's last task and the start of its dependents' tasks:
   * storing the end, publishing the assignments, fetching the image.
   */
  private static final double DEPENDENT_START_DELAY_SECONDS = 5;

  private final EventLoop loop;
  private final RunTimeEstimator runTimes;

  DurationEstimates(EventLoop loop, RunTimeEstimator runTimes) {
    this.loop = loop;
    this.runTimes = runTimes;
  }

  /**
   * Seconds until the dependents of a job that has not started can run.
   *
   * @param secondsUntilRelease seconds until the job itself is released
   */
  double secondsUntilDependentsRun(Job job, double secondsUntilRelease) {
    return secondsUntilRelease
        + SLOWEST_TASK_FACTOR * runTimes.expectedSeconds(job)
        + DEPENDENT_START_DELAY_SECONDS;
  }

  /**
   * Seconds until the last of the job's tasks should complete, if the waiting ones start now;
   * {@link Double#MAX_VALUE} unless the job is in state {@code ACTIVE}.
   */
  double remainingSeconds(Job job) {
    if (job.state() != Job.State.ACTIVE) {
      return Double.MAX_VALUE;
    }
    double expected = runTimes.expectedSeconds(job);
    double remaining = job.waitingCount() > 0 ? expected : 0;
    MonotonicTime now = loop.now();
    for (TaskAssignment assignment : job.assignments()) {
      double ran = assignment.runningSince().map(now::secondsSince).orElse(0.0);
      remaining = Math.max(remaining, RunTimeEstimator.remainingSeconds(expected, ran));
    }
    return remaining;
  }
}
