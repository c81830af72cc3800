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
   * @param spotOnly waits for cheap machines rather than rent dear ones
   * @param fromSeconds before that they may not start, since what they await is not over
   */
  record PendingGroup(
      ResourceRequest request, double runSeconds, boolean spotOnly, int count, double fromSeconds) {
    PendingGroup(ResourceRequest need, double runSeconds, boolean patient, int count) {
      this(need, runSeconds, patient, count, 0);
    }

    PendingGroup with(ResourceRequest other) {
      return new PendingGroup(other, runSeconds, spotOnly, count, fromSeconds);
    }

    PendingGroup with(int left) {
      return new PendingGroup(request, runSeconds, spotOnly, left, fromSeconds);
    }

    /** Whether they join the queue between the two moments. */
    boolean joins(double after, double until) {
      return fromSeconds > after && fromSeconds <= until;
    }
  }

  /** What is left waiting, and which machines the walk made use of. */
  record Result(List<PendingGroup> shortage, Set<MachineId> used) {}

  private QueueSimulation() {}

  static Result run(
      List<MachineCapacity> capacities,
      List<Release> releases,
      List<PendingGroup> waiting,
      double horizon,
      int steps) {
    List<List<Release>> due = new ArrayList<>();
    for (int step = 0; step <= steps; step++) {
      due.add(new ArrayList<>());
    }
    for (Release release : releases) {
      put(release, due, horizon, 0);
    }
    Resources least = UnschedulableRequests.minimumOf(waiting, PendingGroup::request);
    int[] left = waiting.stream().mapToInt(PendingGroup::count).toArray();
    Set<MachineId> used = new HashSet<>();
    for (int step = 0; step <= steps; step++) {
      double time = horizon * step / steps;
      // What found no room before can only find it where some became free since.
      Set<MachineCapacity> grown = new LinkedHashSet<>();
      for (Release release : due.get(step)) {
        release.capacity().free(release.amount());
        grown.add(release.capacity());
      }
      double before = horizon * (step - 1) / steps;
      // Who joins the queue only now has looked at no room yet.
      boolean joined = waiting.stream().anyMatch(group -> group.joins(before, time));
      List<MachineCapacity> open = new ArrayList<>();
      for (MachineCapacity capacity : step == 0 || joined ? capacities : grown) {
        if (least.fitsInto(capacity.available())) {
          open.add(capacity);
        }
      }
      UnschedulableRequests unplaceable = new UnschedulableRequests();
      int next = step + 1;
      for (int i = 0; i < left.length && !open.isEmpty(); i++) {
        PendingGroup group = waiting.get(i);
        if (left[i] > 0 && group.fromSeconds <= time && !unplaceable.covers(group.request)) {
          left[i] -=
              BinPacker.fill(
                  group.request,
                  left[i],
                  open,
                  (capacity, count) -> {
                    used.add(capacity.machine());
                    Resources freed = group.request.perTask().times(count);
                    put(new Release(time + group.runSeconds, capacity, freed), due, horizon, next);
                  });
          if (left[i] > 0) {
            unplaceable.add(group.request);
          }
        }
      }
    }
    List<PendingGroup> shortage = new ArrayList<>();
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
