package org.mulleinshift.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

/** Chooses machines for tasks, for the leader's plans and for the shard owners' placements. */
public final class BinPacker {
  private BinPacker() {}

  /** Receives the allocations on each machine. */
  public interface AllocationConsumer {
    /** Called when capacity for {@code count} equal tasks was allocated on a machine. */
    void accept(MachineCapacity capacity, int count);
  }

  /** A machine that fits at least one task; ties are broken by position. */
  private record ScoredMachine(MachineCapacity capacity, double score, int position)
      implements Comparable<ScoredMachine> {
    @Override
    public int compareTo(ScoredMachine other) {
      int byScore = Double.compare(score, other.score);
      return byScore != 0 ? byScore : Integer.compare(position, other.position);
    }
  }

  /**
   * Allocates capacity to up to {@code count} equal tasks. The result is the same as choosing the
   * best machine for each task separately: an allocation improves a machine's score for the next
   * equal task until the machine is full, and leaves the other scores unchanged. So each machine is
   * scored only once, however many tasks there are.
   *
   * @param consumer is called for each machine that was allocated from, best machine first
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
   * Allocates capacity to up to {@code count} equal tasks without reporting the machines.
   *
   * @return how many of the tasks were placed
   */
  public static int placeTasks(
      ResourceRequest request, int count, Collection<MachineCapacity> capacities) {
    return placeTasks(request, count, capacities, (capacity, allocated) -> {});
  }

  /** The best machine for one task, the first of equally good ones; empty if none fits. */
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
