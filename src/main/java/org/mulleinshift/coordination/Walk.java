package org.mulleinshift.coordination;

import java.util.ArrayList;
import java.util.HashSet;
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
    private int count;

    Waiting(PlacementNeed need, double runSeconds, int count) {
      this.need = need;
      this.runSeconds = runSeconds;
      this.count = count;
    }

    PlacementNeed need() {
      return need;
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
      while (!due.isEmpty() && due.peek().atSeconds() <= time) {
        Release release = due.poll();
        release.room().give(release.amount());
      }
      for (Waiting group : waiting) {
        take(group, rooms, time, due, used);
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

  private static void take(
      Waiting group,
      List<Room> rooms,
      double time,
      PriorityQueue<Release> due,
      Set<MachineId> used) {
    while (group.count > 0) {
      Room room = Placer.choose(group.need, rooms).orElse(null);
      if (room == null) {
        return;
      }
      room.take(group.need);
      used.add(room.machine());
      due.add(new Release(time + group.runSeconds, room, group.need.perTask()));
      group.count--;
    }
  }
}
