package org.mulleinshift.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

/** Chooses a machine for a task; the leader's plans and the owners' placements share it. */
public final class BinPacker {
  private BinPacker() {}

  /** Takes room for some of several equal tasks on a machine. */
  public interface CapacityConsumer {
    void accept(MachineCapacity capacity, int count);
  }

  /** A room that takes the tasks; of equal ones the first is chosen. */
  private record Scored(MachineCapacity capacity, double score, int position)
      implements Comparable<Scored> {
    @Override
    public int compareTo(Scored other) {
      int byScore = Double.compare(score, other.score);
      return byScore != 0 ? byScore : Integer.compare(position, other.position);
    }
  }

  /**
   * Takes room for up to so many equal tasks; tells for how many. The outcome is that of choosing
   * for each task anew: a room that was chosen only becomes a better choice, until it is full, and
   * the others stay as they are. So each room is looked at once, however many tasks there are.
   */
  public static int fill(
      ResourceRequest need,
      int count,
      Collection<MachineCapacity> capacities,
      CapacityConsumer consumer) {
    MachineCapacity best = best(need, capacities).orElse(null);
    if (best == null || count <= 0) {
      return 0;
    }
    int left = count - take(need, count, best, consumer);
    if (left == 0) {
      return count;
    }
    List<Scored> others = new ArrayList<>();
    for (MachineCapacity capacity : capacities) {
      if (capacity != best && capacity.fits(need)) {
        others.add(new Scored(capacity, capacity.score(need), others.size()));
      }
    }
    PriorityQueue<Scored> next = new PriorityQueue<>(others);
    while (left > 0 && !next.isEmpty()) {
      left -= take(need, left, next.poll().capacity(), consumer);
    }
    return count - left;
  }

  private static int take(
      ResourceRequest need, int most, MachineCapacity capacity, CapacityConsumer consumer) {
    int taken = Math.min(most, capacity.countOf(need));
    capacity.allocate(need, taken);
    consumer.accept(capacity, taken);
    return taken;
  }

  /** The same where it does not matter on which machines. */
  public static int fill(ResourceRequest need, int count, Collection<MachineCapacity> capacities) {
    return fill(need, count, capacities, (capacity, taken) -> {});
  }

  public static Optional<MachineCapacity> best(
      ResourceRequest need, Collection<MachineCapacity> capacities) {
    MachineCapacity best = null;
    double bestScore = 0;
    for (MachineCapacity capacity : capacities) {
      if (!capacity.fits(need)) {
        continue;
      }
      double score = capacity.score(need);
      if (best == null || score < bestScore) {
        best = capacity;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }
}
