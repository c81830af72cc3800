package org.mulleinshift.autoscaling;

import org.mulleinshift.placement.ResourceRequest;

/**
 * Identical waiting tasks of one job, as input of the queue simulation.
 *
 * @param request what one task requests
 * @param runSeconds expected run time of a task
 * @param spotOnly whether no on-demand machines are provisioned for the tasks
 * @param count number of tasks
 * @param earliestStartSeconds seconds from now until the job's dependencies should be done; 0 if
 *     the tasks may start now
 */
record PendingGroup(
    ResourceRequest request,
    double runSeconds,
    boolean spotOnly,
    int count,
    double earliestStartSeconds) {
  /** Returns the same tasks with another request. */
  PendingGroup withRequest(ResourceRequest other) {
    return new PendingGroup(other, runSeconds, spotOnly, count, earliestStartSeconds);
  }

  /** Returns the given number of these tasks. */
  PendingGroup withCount(int other) {
    return new PendingGroup(request, runSeconds, spotOnly, other, earliestStartSeconds);
  }

  /** Returns whether the tasks join the queue after the first time and no later than the second. */
  boolean joinsBetween(double afterSeconds, double untilSeconds) {
    return earliestStartSeconds > afterSeconds && earliestStartSeconds <= untilSeconds;
  }
}
