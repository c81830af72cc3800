package org.mulleinshift.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/** Constraints between the tasks of a job: one zone for all, spread over zones, gangs. */
public final class PlacementConstraints {
  private PlacementConstraints() {}

  /** Whether one more of the job's tasks may be in the zone, given where the others are. */
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

  /** A job that is spread has at most half of its tasks, rounded up, in one zone. */
  private static int maxPerZoneIfSpread(Job job) {
    return (job.spec().tasks() + 1) / 2;
  }

  /**
   * Whether a gang can start as a whole: none of its tasks is assigned, and all of them fit.
   *
   * @param allowed how many of its tasks quotas allow
   */
  public static boolean gangFits(
      Job job,
      ResourceRequest request,
      List<MachineCapacity> capacities,
      int allowed,
      MonotonicTime now) {
    int tasks = job.spec().tasks() - job.doneCount();
    if (job.assignedCount() > 0
        || allowed < tasks
        || job.assignableTasks(tasks, now).length < tasks) {
      return false;
    }
    Map<ZoneId, Integer> fittingPerZone = new HashMap<>();
    for (MachineCapacity capacity : capacities) {
      ZoneId zone = capacity.zone();
      if (job.spec().allowsZone(zone)) {
        fittingPerZone.merge(zone, capacity.countOf(request), Integer::sum);
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
