package org.mulleinshift.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/** Where a job's tasks may be together: one zone, spread, and gangs as a whole. */
public final class PlacementConstraints {
  private PlacementConstraints() {}

  /** Whether one more of its tasks may be in the zone, given where the others are. */
  public static boolean allows(Job job, ZoneId zone) {
    if (!job.spec().allowsZone(zone)) {
      return false;
    }
    if (job.spec().oneZone() && !job.assignedPerZone().isEmpty() && job.assignedIn(zone) == 0) {
      return false;
    }
    int half = (job.spec().tasks() + 1) / 2;
    return !job.spec().spread() || job.assignedIn(zone) < half;
  }

  /** A gang starts as a whole: none of its tasks is out, and there is room for all of them. */
  public static boolean gangFits(
      Job job,
      ResourceRequest need,
      List<MachineCapacity> capacities,
      int allowed,
      MonotonicTime now) {
    int tasks = job.spec().tasks() - job.doneCount();
    if (job.assignedCount() > 0 || allowed < tasks || job.waiting(tasks, now).length < tasks) {
      return false;
    }
    Map<ZoneId, Integer> perZone = new HashMap<>();
    for (MachineCapacity capacity : capacities) {
      ZoneId zone = capacity.zone();
      if (job.spec().allowsZone(zone)) {
        perZone.merge(zone, capacity.countOf(need), Integer::sum);
      }
    }
    if (job.spec().oneZone()) {
      return perZone.values().stream().anyMatch(fit -> fit >= tasks);
    }
    int half = job.spec().spread() ? (job.spec().tasks() + 1) / 2 : tasks;
    return perZone.values().stream().mapToInt(fit -> Math.min(fit, half)).sum() >= tasks;
  }
}
