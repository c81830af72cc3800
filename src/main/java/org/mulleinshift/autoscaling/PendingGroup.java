package org.mulleinshift.autoscaling;

import org.mulleinshift.placement.ResourceRequest;

/**
 * Equal waiting tasks of one job, as the queue simulation sees them.
 *
 * @param request what one task requests
 * @param runSeconds expected run time of a task
 * @param spotOnly whether the tasks wait for spot machines rather than use on-demand ones
 * @param count number of tasks
 * @param earliestStartSeconds earliest start from now on, when the job's dependencies should be
 *     done
 */
record PendingGroup(
    ResourceRequest request,
    double runSeconds,
    boolean spotOnly,
    int count,
    double earliestStartSeconds) {
  /** The same tasks with another request. */
  PendingGroup withRequest(ResourceRequest other) {
    return new PendingGroup(other, runSeconds, spotOnly, count, earliestStartSeconds);
  }

  /** So many of these tasks. */
  PendingGroup withCount(int other) {
    return new PendingGroup(request, runSeconds, spotOnly, other, earliestStartSeconds);
  }

  /** Whether the tasks join the queue after the first moment and no later than the second. */
  boolean joinsBetween(double afterSeconds, double untilSeconds) {
    return earliestStartSeconds > afterSeconds && earliestStartSeconds <= untilSeconds;
  }
}
