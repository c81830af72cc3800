package org.mulleinshift.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Resources;

/**
 * The forward walk over one boot time: tasks due to end free their room, machines that boot bring
 * theirs, and waiting tasks take it. What still waits at the end is the shortage.
 */
final class Walk {
  /** Room that becomes free later. */
  record Release(double atSeconds, Room room, Resources amount) implements Comparable<Release> {
    @Override
    public int compareTo(Release other) {
      return Double.compare(atSeconds, other.atSeconds);
    }
  }

  /** Waiting tasks of one job that may start. */
  static final class Waiting {
    private final PlacementNeed need;
    private final double runSeconds;
    private final boolean patient;
    private int count;

    Waiting(PlacementNeed need, double runSeconds, boolean patient, int count) {
      this.need = need;
      this.runSeconds = runSeconds;
      this.patient = patient;
      this.count = count;
    }

    /** Waits for cheap machines rather than rent dear ones. */
    boolean patient() {
      return patient;
    }

    PlacementNeed need() {
      return need;
    }

    Waiting with(PlacementNeed other) {
      return new Waiting(other, runSeconds, patient, count);
    }

    int count() {
      return count;
    }
  }

  /** What is left waiting, and which machines the walk made use of. */
  record Result(List<Waiting> shortage, Set<MachineId> used) {}

  private Walk() {}

  static Result run(
      List<Room> rooms, List<Release> releases, List<Waiting> waiting, double horizon, int steps) {
    PriorityQueue<Release> due = new PriorityQueue<>(releases);
    Set<MachineId> used = new HashSet<>();
    for (int step = 0; step <= steps; step++) {
      double time = horizon * step / steps;
      // What found no room before can only find it where some became free since.
      Collection<Room> grown = step == 0 ? rooms : new LinkedHashSet<>();
      while (!due.isEmpty() && due.peek().atSeconds() <= time) {
        Release release = due.poll();
        release.room().give(release.amount());
        if (step > 0) {
          grown.add(release.room());
        }
      }
      for (Waiting group : waiting) {
        if (group.count > 0 && !grown.isEmpty()) {
          group.count -=
              Placer.fill(
                  group.need,
                  group.count,
                  grown,
                  (room, count) -> {
                    used.add(room.machine());
                    double end = time + group.runSeconds;
                    if (end <= horizon) {
                      due.add(new Release(end, room, group.need.perTask().times(count)));
                    }
                  });
        }
      }
    }
    List<Waiting> shortage = new ArrayList<>();
    for (Waiting group : waiting) {
      if (group.count > 0) {
        shortage.add(group);
      }
    }
    return new Result(shortage, used);
  }
}
