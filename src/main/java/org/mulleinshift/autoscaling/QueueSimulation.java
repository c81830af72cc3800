package org.mulleinshift.autoscaling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.mulleinshift.placement.BinPacker;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.placement.UnschedulableRequests;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Resources;

/**
 * The forward walk over one boot time: tasks due to end free their room, machines that boot bring
 * theirs, and waiting tasks take it. What still waits at the end is the shortage.
 */
final class QueueSimulation {
  /** Room that becomes free later. */
  record Release(double atSeconds, MachineCapacity capacity, Resources amount) {}

  /**
   * Waiting tasks of one job that may start.
   *
   * @param patient waits for cheap machines rather than rent dear ones
   * @param fromSeconds before that they may not start, since what they await is not over
   */
  record Waiting(
      ResourceRequest need, double runSeconds, boolean patient, int count, double fromSeconds) {
    Waiting(ResourceRequest need, double runSeconds, boolean patient, int count) {
      this(need, runSeconds, patient, count, 0);
    }

    Waiting with(ResourceRequest other) {
      return new Waiting(other, runSeconds, patient, count, fromSeconds);
    }

    Waiting with(int left) {
      return new Waiting(need, runSeconds, patient, left, fromSeconds);
    }

    /** Whether they join the queue between the two moments. */
    boolean joins(double after, double until) {
      return fromSeconds > after && fromSeconds <= until;
    }
  }

  /** What is left waiting, and which machines the walk made use of. */
  record Result(List<Waiting> shortage, Set<MachineId> used) {}

  private QueueSimulation() {}

  static Result run(
      List<MachineCapacity> capacities,
      List<Release> releases,
      List<Waiting> waiting,
      double horizon,
      int steps) {
    List<List<Release>> due = new ArrayList<>();
    for (int step = 0; step <= steps; step++) {
      due.add(new ArrayList<>());
    }
    for (Release release : releases) {
      put(release, due, horizon, 0);
    }
    Resources least = UnschedulableRequests.minOf(waiting, Waiting::need);
    int[] left = waiting.stream().mapToInt(Waiting::count).toArray();
    Set<MachineId> used = new HashSet<>();
    for (int step = 0; step <= steps; step++) {
      double time = horizon * step / steps;
      // What found no room before can only find it where some became free since.
      Set<MachineCapacity> grown = new LinkedHashSet<>();
      for (Release release : due.get(step)) {
        release.capacity().give(release.amount());
        grown.add(release.capacity());
      }
      double before = horizon * (step - 1) / steps;
      // Who joins the queue only now has looked at no room yet.
      boolean joined = waiting.stream().anyMatch(group -> group.joins(before, time));
      List<MachineCapacity> open = new ArrayList<>();
      for (MachineCapacity capacity : step == 0 || joined ? capacities : grown) {
        if (least.fitsInto(capacity.free())) {
          open.add(capacity);
        }
      }
      UnschedulableRequests unplaceable = new UnschedulableRequests();
      int next = step + 1;
      for (int i = 0; i < left.length && !open.isEmpty(); i++) {
        Waiting group = waiting.get(i);
        if (left[i] > 0 && group.fromSeconds <= time && !unplaceable.covers(group.need)) {
          left[i] -=
              BinPacker.fill(
                  group.need,
                  left[i],
                  open,
                  (capacity, count) -> {
                    used.add(capacity.machine());
                    Resources freed = group.need.perTask().times(count);
                    put(new Release(time + group.runSeconds, capacity, freed), due, horizon, next);
                  });
          if (left[i] > 0) {
            unplaceable.add(group.need);
          }
        }
      }
    }
    List<Waiting> shortage = new ArrayList<>();
    for (int i = 0; i < left.length; i++) {
      if (left[i] > 0) {
        shortage.add(waiting.get(i).with(left[i]));
      }
    }
    return new Result(shortage, used);
  }

  /** Into the first step from then on; what ends beyond the horizon is of no use. */
  private static void put(Release release, List<List<Release>> due, double horizon, int earliest) {
    int last = due.size() - 1;
    double share = horizon > 0 ? release.atSeconds() / horizon : 0;
    int step = (int) Math.max(earliest, Math.ceil(Math.min(1e6, share * last)));
    if (release.atSeconds() <= horizon && step <= last) {
      due.get(step).add(release);
    }
  }
}
