package org.mulleinshift.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.placement.BinPacker;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.protocol.JobKind;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.ShardId;

/**
 * Assigns tasks to capacity that should become free before the assignment reaches the shard's
 * owner. Storing and sending an assignment takes longer than a machine should be idle, so the owner
 * queues the task and starts it as soon as there is capacity.
 */
final class AssignAheadPass {
  private final ClusterState state;
  private final AvailableCapacity availableCapacity;
  private final TaskAssigner assigner;
  private final MinimumSharePass minimumSharePass;
  private final double aheadSeconds;

  /**
   * Creates the pass.
   *
   * @param aheadSeconds how far ahead capacity is counted as available; 0 disables the pass
   */
  AssignAheadPass(
      ClusterState state,
      AvailableCapacity availableCapacity,
      TaskAssigner assigner,
      MinimumSharePass minimumSharePass,
      double aheadSeconds) {
    this.state = state;
    this.availableCapacity = availableCapacity;
    this.assigner = assigner;
    this.minimumSharePass = minimumSharePass;
    this.aheadSeconds = aheadSeconds;
  }

  void run(CycleState cycle) {
    if (aheadSeconds == 0 || cycle.rankedJobs().stream().noneMatch(AssignAheadPass::isCandidate)) {
      return;
    }
    releaseEndingTasks(cycle);
    cycle.clearUnschedulable();
    allocateQueuedTasks(cycle);
    minimumSharePass.run(cycle, AssignAheadPass::mayQueueAtOwner);
    for (Job job : cycle.rankedJobs()) {
      if (mayQueueAtOwner(job)) {
        assigner.assign(job, cycle);
      }
    }
  }

  private static boolean isCandidate(Job job) {
    return mayQueueAtOwner(job) && job.waitingCount() > 0;
  }

  /**
   * Whether tasks of the job may be assigned before there is capacity. This excludes jobs whose
   * tasks are restricted to zones by where the job's other tasks are.
   */
  private static boolean mayQueueAtOwner(Job job) {
    return job.state() == Job.State.ACTIVE
        && job.spec().kind() == JobKind.ARRAY
        && !job.spec().requiresSingleZone()
        && !job.spec().requiresSpread();
  }

  /** Counts the capacity of tasks that are expected to end soon as available. */
  private void releaseEndingTasks(CycleState cycle) {
    Map<MachineId, Optional<MachineCapacity>> byMachine = new HashMap<>();
    cycle
        .capacities()
        .forEach(capacity -> byMachine.put(capacity.machine(), Optional.of(capacity)));
    for (Job job : cycle.rankedJobs()) {
      for (TaskAssignment assignment : endingSoon(job)) {
        byMachine
            .computeIfAbsent(
                assignment.machine().get(),
                machine -> addSaturatedMachine(assignment.shard(), machine, cycle))
            .ifPresent(capacity -> capacity.free(assignment.perTask()));
      }
    }
  }

  /**
   * Adds a machine that was left out because too little of it was available; empty if it is not
   * usable.
   */
  private Optional<MachineCapacity> addSaturatedMachine(
      ShardId shard, MachineId machine, CycleState cycle) {
    Optional<MachineCapacity> capacity =
        state
            .shards()
            .find(shard)
            .flatMap(found -> availableCapacity.ofMachine(found, machine, Resources.ZERO));
    capacity.ifPresent(cycle::addCapacity);
    return capacity;
  }

  /**
   * Allocates capacity to the tasks already queued at owners: they take what becomes free first.
   */
  private void allocateQueuedTasks(CycleState cycle) {
    for (AvailableCapacity.QueuedAtOwner queued : availableCapacity.queuedAtOwners()) {
      List<MachineCapacity> ofShard =
          cycle.capacities().stream()
              .filter(capacity -> capacity.shard().equals(queued.shard()))
              .toList();
      BinPacker.placeTasks(queued.request(), queued.count(), ofShard);
    }
  }

  /**
   * The running tasks that are expected to end soon: as many as the expected run time suggests, the
   * longest-running first.
   */
  private List<TaskAssignment> endingSoon(Job job) {
    List<TaskAssignment> running =
        job.assignments().stream()
            .filter(assignment -> assignment.state() == TaskAssignment.State.RUNNING)
            .sorted(Comparator.comparing(assignment -> assignment.runningSince().get()))
            .toList();
    double expectedEnds =
        running.size() * aheadSeconds / Math.max(1, state.runTimes().expectedSeconds(job));
    return running.subList(0, (int) Math.min(running.size(), Math.round(expectedEnds)));
  }
}
