package org.mulleinshift.sharding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.mulleinshift.placement.BinPacker;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.placement.UnschedulableRequests;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.WorkerHeartbeat;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Chooses a machine for each unplaced task of a shard. */
final class TaskPlacer {
  private static final Logger LOG = LoggerFactory.getLogger(TaskPlacer.class);

  /** A task that fits on no machine for this long is reported to the leader as rejected. */
  private static final Duration PLACEMENT_TIMEOUT = Duration.ofSeconds(4);

  /** The zone plays no part: a shard lies in one zone, and the leader chose the shard. */
  private static final ZoneId ANY_ZONE = new ZoneId("");

  private final EventLoop loop;
  private final MachineTypeCatalog catalog;
  private final Predicate<JobId> cancelled;
  private final ShardId shard;
  private final ShardState state;
  private final AssignmentReceiver assignments;
  private final LivenessMonitor liveness;

  /** Creates a placer for one shard under one grant. */
  TaskPlacer(
      ShardOwner.Context context,
      ShardId shard,
      ShardState state,
      AssignmentReceiver assignments,
      LivenessMonitor liveness) {
    this.loop = context.loop();
    this.catalog = context.catalog();
    this.cancelled = context.cancelled();
    this.shard = shard;
    this.state = state;
    this.assignments = assignments;
    this.liveness = liveness;
  }

  /** Places the unplaced tasks that fit on a machine. Only an owner that may act may call this. */
  void placeTasks() {
    List<OwnedTask> candidates = candidates();
    Set<TaskId> reportedUnassigned = reportedUnassigned();
    List<MachineCapacity> capacities =
        capacities(UnschedulableRequests.minimumOf(candidates, OwnedTask::request));
    UnschedulableRequests unschedulable = new UnschedulableRequests();
    MonotonicTime now = loop.now();
    for (OwnedTask task : candidates) {
      if (task.stopRequested() || cancelled.test(task.id().job())) {
        state.finish(task, TaskPhase.STOPPED);
      } else if (!reportedUnassigned.contains(task.id())
          && !tryPlace(task, capacities, unschedulable)
          && now.isAfter(task.receivedAt().plus(PLACEMENT_TIMEOUT))) {
        state.finish(task, TaskPhase.REJECTED);
      }
    }
  }

  /** Tasks that are certainly on no machine, most urgent first. */
  private List<OwnedTask> candidates() {
    List<OwnedTask> candidates = new ArrayList<>();
    boolean allAccountedFor = allMachinesAccountedFor();
    for (OwnedTask task : state.unplacedTasks()) {
      if (task.assignedUnderCurrentGrant() || allAccountedFor) {
        candidates.add(task);
      }
    }
    candidates.sort(Comparator.comparingInt(OwnedTask::rank));
    return candidates;
  }

  /**
   * Whether every machine that is up has been confirmed or has expired. Only then does a new owner
   * know which inherited tasks are on no machine.
   */
  private boolean allMachinesAccountedFor() {
    return state.machines().stream()
        .allMatch(
            machine ->
                !machine.record().up()
                    || machine.phase() == MachinePhase.CONFIRMED
                    || machine.phase() == MachinePhase.EXPIRED);
  }

  /** Tasks of which a machine reports an unassigned attempt; they wait until that is gone. */
  private Set<TaskId> reportedUnassigned() {
    Set<TaskId> reported = new HashSet<>();
    for (OwnedMachine machine : state.machines()) {
      machine.unassignedTasks().forEach(entry -> reported.add(entry.task()));
    }
    return reported;
  }

  private boolean tryPlace(
      OwnedTask task, List<MachineCapacity> capacities, UnschedulableRequests unschedulable) {
    Optional<MachineCapacity> best =
        unschedulable.covers(task.request())
            ? Optional.empty()
            : BinPacker.bestMachine(task.request(), capacities);
    if (best.isEmpty()) {
      unschedulable.add(task.request());
      return false;
    }
    best.get().allocate(task.request());
    LOG.debug(
        "task placed, task={} attempt={} machine={} assigned_under_current_grant={}",
        task.id(),
        task.attempt(),
        best.get().machine(),
        task.assignedUnderCurrentGrant());
    state.bind(task, TaskPhase.STARTING, best.get().machine());
    task.confirmPlacement();
    state.machine(best.get().machine()).orElseThrow().commands().markPending();
    return true;
  }

  /** Machines that may take tasks and have at least the minimum available. */
  private List<MachineCapacity> capacities(Resources minimum) {
    List<MachineCapacity> capacities = new ArrayList<>();
    MonotonicTime now = loop.now();
    for (OwnedMachine machine : state.machines()) {
      Optional<MachineType> type = catalog.type(machine.record().type());
      if (type.isEmpty()) {
        continue;
      }
      Resources available = type.get().size().minus(machine.usedResources());
      if (minimum.fitsInto(available) && isUsable(machine, now)) {
        capacities.add(capacityOf(machine, type.get(), available));
      }
    }
    return capacities;
  }

  private MachineCapacity capacityOf(OwnedMachine machine, MachineType type, Resources available) {
    Set<String> images = new HashSet<>(machine.images());
    machine.tasks().forEach(task -> images.add(task.request().image()));
    return new MachineCapacity(
        machine.id(), shard, ANY_ZONE, type, machine.record().spot(), available, images);
  }

  private boolean isUsable(OwnedMachine machine, MonotonicTime now) {
    return machine.phase() == MachinePhase.CONFIRMED
        && machine.record().up()
        && !assignments.isCordoned(machine.id())
        && !machine.hasInterruptionNotice()
        && liveness.livenessOf(machine, now) == MachineLiveness.ALIVE
        && machine.unassignedTasks().stream()
            .allMatch(entry -> entry.state() == WorkerHeartbeat.TaskState.EXITED);
  }
}
