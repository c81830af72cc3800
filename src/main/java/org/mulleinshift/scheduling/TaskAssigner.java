package org.mulleinshift.scheduling;

import java.util.Arrays;
import java.util.List;
import java.util.PrimitiveIterator;
import org.mulleinshift.model.Job;
import org.mulleinshift.placement.BinPacker;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.placement.PlacementConstraints;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.JobKind;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.TeamId;
import org.mulleinshift.transport.EventLoop;

/** Assigns tasks of one job to available capacity, within quotas and placement constraints. */
final class TaskAssigner {
  /**
   * The low bits of an attempt number count within a term; the high bits are the term, so attempts
   * of later terms have higher numbers.
   */
  private static final int ATTEMPT_BITS = 20;

  private final EventLoop loop;
  private final ClusterState state;
  private final TaskActions actions;
  private final Attempt firstAttempt;

  TaskAssigner(EventLoop loop, Revision term, ClusterState state, TaskActions actions) {
    this.loop = loop;
    this.state = state;
    this.actions = actions;
    this.firstAttempt = new Attempt((term.value() << ATTEMPT_BITS) + 1);
  }

  /** Assigns as many of the job's waiting tasks as quotas, failures and capacity allow. */
  void assign(Job job, CycleState cycle) {
    assign(job, Integer.MAX_VALUE, cycle);
  }

  /**
   * Assigns at most {@code maxTasks} of the job's waiting tasks. The maximum applies to array jobs
   * only; a gang is assigned as a whole or not at all.
   *
   * @return how many tasks were assigned
   */
  int assign(Job job, int maxTasks, CycleState cycle) {
    TeamId team = job.spec().team();
    Resources used = cycle.usageOf(team);
    int allowed = allowedTasks(job, used, maxTasks);
    if (allowed == 0 || job.waitingCount() == 0) {
      return 0;
    }
    ResourceRequest request = ResourceRequest.of(job.spec());
    if (!mayFit(job, request, allowed, cycle)) {
      return 0;
    }
    int[] waiting = job.assignableTasks(allowed, loop.now());
    BinPacker.AllocationConsumer consumer = assigningConsumer(job, waiting);
    int assigned =
        hasInterTaskZoneConstraints(job)
            ? assignOneByOne(job, request, waiting.length, cycle, consumer)
            : assignTogether(job, request, waiting.length, cycle, consumer);
    cycle.recordUsage(team, used.plus(job.spec().perTask().times(assigned)));
    return assigned;
  }

  private int allowedTasks(Job job, Resources used, int maxTasks) {
    int allowed =
        Math.min(
            state.quotas().tasksWithinLimit(job, used),
            state.failures().allowedAttempts(job, loop.now()));
    return job.spec().kind() == JobKind.ARRAY ? Math.min(allowed, maxTasks) : allowed;
  }

  /** Whether tasks of the job may fit; false only if none can be placed. */
  private boolean mayFit(Job job, ResourceRequest request, int allowed, CycleState cycle) {
    if (job.spec().kind() == JobKind.GANG
        && !PlacementConstraints.gangFits(job, request, cycle.capacities(), allowed, loop.now())) {
      return false;
    }
    return hasInterTaskZoneConstraints(job) || !cycle.isUnschedulable(request);
  }

  /** Whether each assigned task of the job changes which zones its other tasks may be in. */
  private static boolean hasInterTaskZoneConstraints(Job job) {
    return job.spec().requiresSpread() || job.spec().requiresSingleZone();
  }

  private BinPacker.AllocationConsumer assigningConsumer(Job job, int[] waiting) {
    PrimitiveIterator.OfInt taskIndexes = Arrays.stream(waiting).iterator();
    return (capacity, count) -> {
      for (int i = 0; i < count; i++) {
        int index = taskIndexes.nextInt();
        state.allocations().add(job.assign(index, capacity.shard(), capacity.zone(), firstAttempt));
        actions.onAssigned(job, index);
      }
    };
  }

  private static int assignOneByOne(
      Job job,
      ResourceRequest request,
      int count,
      CycleState cycle,
      BinPacker.AllocationConsumer consumer) {
    int assigned = 0;
    while (assigned < count
        && BinPacker.placeTasks(request, 1, allowedCapacities(job, cycle), consumer) == 1) {
      assigned++;
    }
    return assigned;
  }

  private static int assignTogether(
      Job job,
      ResourceRequest request,
      int count,
      CycleState cycle,
      BinPacker.AllocationConsumer consumer) {
    int assigned = BinPacker.placeTasks(request, count, allowedCapacities(job, cycle), consumer);
    if (assigned < count) {
      cycle.markUnschedulable(request);
    }
    return assigned;
  }

  private static List<MachineCapacity> allowedCapacities(Job job, CycleState cycle) {
    if (job.spec().zone().isEmpty() && !hasInterTaskZoneConstraints(job)) {
      return cycle.capacities();
    }
    return cycle.capacities().stream()
        .filter(capacity -> PlacementConstraints.allows(job, capacity.zone()))
        .toList();
  }
}
