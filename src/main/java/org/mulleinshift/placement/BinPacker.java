package org.mulleinshift.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

/** Chooses machines for tasks; shared by the leader's plans and the owners' placements. */
public final class BinPacker {
  private BinPacker() {}

  /** Receives where capacity was allocated. */
  public interface AllocationConsumer {
    /** Capacity for so many of several equal tasks was allocated on a machine. */
    void accept(MachineCapacity capacity, int count);
  }

  /** A machine that fits the tasks; of equally good ones the first is chosen. */
  private record ScoredMachine(MachineCapacity capacity, double score, int position)
      implements Comparable<ScoredMachine> {
    @Override
    public int compareTo(ScoredMachine other) {
      int byScore = Double.compare(score, other.score);
      return byScore != 0 ? byScore : Integer.compare(position, other.position);
    }
  }

  /**
   * Allocates capacity to up to so many equal tasks. The outcome is that of choosing for each task
   * anew: a machine that was chosen only becomes a better choice, until it is full, and the others
   * stay as they are. So each machine is looked at once, however many tasks there are.
   *
   * @param consumer is called for each machine, in the order of choice
   * @return how many of the tasks were placed
   */
  public static int placeTasks(
      ResourceRequest request,
      int count,
      Collection<MachineCapacity> capacities,
      AllocationConsumer consumer) {
    MachineCapacity best = bestMachine(request, capacities).orElse(null);
    if (best == null || count <= 0) {
      return 0;
    }
    int remaining = count - allocate(request, count, best, consumer);
    if (remaining == 0) {
      return count;
    }
    List<ScoredMachine> others = new ArrayList<>();
    for (MachineCapacity capacity : capacities) {
      if (capacity != best && capacity.fits(request)) {
        others.add(new ScoredMachine(capacity, capacity.score(request), others.size()));
      }
    }
    PriorityQueue<ScoredMachine> bestFirst = new PriorityQueue<>(others);
    while (remaining > 0 && !bestFirst.isEmpty()) {
      remaining -= allocate(request, remaining, bestFirst.poll().capacity(), consumer);
    }
    return count - remaining;
  }

  private static int allocate(
      ResourceRequest request,
      int maxTasks,
      MachineCapacity capacity,
      AllocationConsumer consumer) {
    int allocated = Math.min(maxTasks, capacity.countFitting(request));
    capacity.allocate(request, allocated);
    consumer.accept(capacity, allocated);
    return allocated;
  }

  /**
   * Allocates capacity to up to so many equal tasks, on whichever machines.
   *
   * @return how many of the tasks were placed
   */
  public static int placeTasks(
      ResourceRequest request, int count, Collection<MachineCapacity> capacities) {
    return placeTasks(request, count, capacities, (capacity, allocated) -> {});
  }

  /** The best machine for one task, if any fits; of equally good ones the first. */
  public static Optional<MachineCapacity> bestMachine(
      ResourceRequest request, Collection<MachineCapacity> capacities) {
    MachineCapacity best = null;
    double bestScore = 0;
    for (MachineCapacity capacity : capacities) {
      if (!capacity.fits(request)) {
        continue;
      }
      double score = capacity.score(request);
      if (best == null || score < bestScore) {
        best = capacity;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }
}
