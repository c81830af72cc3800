package org.mulleinshift.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/** Constraints among the tasks of one job: single zone, spread over zones, gang scheduling. */
public final class PlacementConstraints {
  private PlacementConstraints() {}

  /** Whether another task of the job may run in the zone, given where its tasks are assigned. */
  public static boolean allows(Job job, ZoneId zone) {
    if (!job.spec().allowsZone(zone)) {
      return false;
    }
    if (job.spec().requiresSingleZone()
        && !job.assignedPerZone().isEmpty()
        && job.assignedIn(zone) == 0) {
      return false;
    }
    return !job.spec().requiresSpread() || job.assignedIn(zone) < maxPerZoneIfSpread(job);
  }

  /** A job that requires spread may have at most half of its tasks, rounded up, in one zone. */
  private static int maxPerZoneIfSpread(Job job) {
    return (job.spec().taskCount() + 1) / 2;
  }

  /**
   * Whether all tasks of a gang that are not done can start together: none of them is assigned yet,
   * all are waiting, and there is capacity for all within the zone constraints.
   *
   * @param allowed how many of its tasks the quotas allow to run
   */
  public static boolean gangFits(
      Job job,
      ResourceRequest request,
      List<MachineCapacity> capacities,
      int allowed,
      MonotonicTime now) {
    int tasks = job.spec().taskCount() - job.doneCount();
    if (job.assignedCount() > 0
        || allowed < tasks
        || job.assignableTasks(tasks, now).length < tasks) {
      return false;
    }
    Map<ZoneId, Integer> fittingPerZone = new HashMap<>();
    for (MachineCapacity capacity : capacities) {
      ZoneId zone = capacity.zone();
      if (job.spec().allowsZone(zone)) {
        fittingPerZone.merge(zone, capacity.countFitting(request), Integer::sum);
      }
    }
    if (job.spec().requiresSingleZone()) {
      return fittingPerZone.values().stream().anyMatch(fitting -> fitting >= tasks);
    }
    int maxPerZone = job.spec().requiresSpread() ? maxPerZoneIfSpread(job) : tasks;
    int fitting = fittingPerZone.values().stream().mapToInt(fit -> Math.min(fit, maxPerZone)).sum();
    return fitting >= tasks;
  }
}
