package org.mulleinshift.sharding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.model.ClusterView.ShardRecord;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines of an owned shard and the tasks assigned to it. All changes are made through this
 * class, which keeps the tasks of each machine, the unplaced tasks and the status for the leader
 * consistent.
 */
final class ShardState {
  private static final Logger LOG = LoggerFactory.getLogger(ShardState.class);

  private final EventLoop loop;
  private final Revision grant;
  private final Runnable onStatusChange;
  private final Map<MachineId, OwnedMachine> machines = new TreeMap<>();
  private final Map<TaskId, OwnedTask> tasks = new LinkedHashMap<>();
  private final Set<OwnedTask> unplacedTasks = new LinkedHashSet<>();
  private final ShardStatusReporter statusReporter;
  private final WorkerCommandCounters commandCounters;
  private Revision appliedRevision = new Revision(0);

  /**
   * Creates a shard without machines and tasks.
   *
   * @param grant the grant under which this node owns the shard
   * @param onStatusChange called when the leader should receive a status soon
   */
  ShardState(EventLoop loop, ShardId id, Revision grant, Runnable onStatusChange) {
    this.loop = loop;
    this.grant = grant;
    this.onStatusChange = onStatusChange;
    this.statusReporter = new ShardStatusReporter(loop, id, grant, machines, tasks, onStatusChange);
    this.commandCounters = new WorkerCommandCounters(id);
  }

  ShardStatusReporter statusReporter() {
    return statusReporter;
  }

  WorkerCommandCounters commandCounters() {
    return commandCounters;
  }

  /** All machines, ordered by id. */
  Collection<OwnedMachine> machines() {
    return machines.values();
  }

  Optional<OwnedMachine> machine(MachineId id) {
    return Optional.ofNullable(machines.get(id));
  }

  /** All tasks, in the order of their first assignment. */
  Collection<OwnedTask> tasks() {
    return tasks.values();
  }

  /** The task, if this attempt of it is assigned to the shard. */
  Optional<OwnedTask> task(TaskId id, Attempt attempt) {
    return Optional.ofNullable(tasks.get(id)).filter(task -> task.attempt().equals(attempt));
  }

  /** Tasks for which no machine has been chosen. */
  Set<OwnedTask> unplacedTasks() {
    return unplacedTasks;
  }

  /**
   * Applies the shard's stored record. A machine that is no longer in it has certainly been
   * deleted.
   *
   * @return whether the record has another revision than the last one
   */
  boolean applyRecord(ShardRecord record) {
    if (record.revision().equals(appliedRevision)) {
      return false;
    }
    appliedRevision = record.revision();
    for (Map.Entry<MachineId, MachineRecord> entry : record.machines().entrySet()) {
      machines
          .computeIfAbsent(
              entry.getKey(), key -> new OwnedMachine(key, entry.getValue(), grant, loop.now()))
          .updateRecord(entry.getValue());
      markChanged(entry.getKey());
    }
    List<MachineId> deleted = new ArrayList<>(machines.keySet());
    deleted.removeAll(record.machines().keySet());
    for (MachineId machine : deleted) {
      markAllAbsent(machines.remove(machine));
    }
    return true;
  }

  /** Adds a newly assigned task, which replaces any earlier attempt. */
  void add(OwnedTask task) {
    Optional.ofNullable(tasks.get(task.id())).ifPresent(this::unbind);
    tasks.put(task.id(), task);
    unplacedTasks.add(task);
    statusReporter.markChanged(task.id());
  }

  /** Removes a task that is no longer assigned to the shard. */
  void remove(TaskId id) {
    Optional.ofNullable(tasks.remove(id)).ifPresent(this::unbind);
  }

  /** Removes all tasks except these. */
  void retainOnly(Set<TaskId> assigned) {
    List<TaskId> others = new ArrayList<>(tasks.keySet());
    others.removeIf(assigned::contains);
    others.forEach(this::remove);
  }

  private void unbind(OwnedTask task) {
    machineOf(task).ifPresent(machine -> machine.unbind(task));
    unplacedTasks.remove(task);
  }

  private Optional<OwnedMachine> machineOf(OwnedTask task) {
    return task.boundMachine().map(machines::get);
  }

  /** Records that the task is, or may be, on the machine and in that phase. */
  void bind(OwnedTask task, TaskPhase phase, MachineId machine) {
    transitionTask(task, phase, Optional.of(machine));
  }

  /** Records that the task has ended, wherever it was. */
  void finish(OwnedTask task, TaskPhase finalPhase) {
    transitionTask(task, finalPhase, Optional.empty());
  }

  /**
   * Records that the task is provably absent from its machine. It has ended if it was confirmed to
   * be there. Otherwise it may be on another machine, and waits until all machines are accounted
   * for, as at the beginning of the grant.
   */
  void markAbsent(OwnedTask task) {
    if (task.placementConfirmed()) {
      finish(task, task.stopRequested() ? TaskPhase.STOPPED : TaskPhase.LOST);
    } else {
      transitionTask(task, TaskPhase.NEW, Optional.empty());
      unplacedTasks.add(task);
    }
  }

  /** Records that none of the machine's tasks can run there any more. */
  void markAllAbsent(OwnedMachine machine) {
    machine.tasks().forEach(this::markAbsent);
  }

  /** Changes a task's phase and updates all indexes that depend on it. */
  private void transitionTask(OwnedTask task, TaskPhase next, Optional<MachineId> machine) {
    Optional<OwnedMachine> before = machineOf(task);
    task.transitionTo(next, machine, loop.now());
    Optional<OwnedMachine> after = machineOf(task);
    before
        .filter(previous -> after.isEmpty() || after.get() != previous)
        .ifPresent(previous -> previous.unbind(task));
    after.ifPresent(current -> current.bind(task));
    if (task.phase() != TaskPhase.NEW) {
      unplacedTasks.remove(task);
    }
    statusReporter.markChanged(task.id());
    onStatusChange.run();
  }

  /** Marks the task to be stopped, as the leader or a user requests. */
  void requestStop(OwnedTask task) {
    if (task.stopRequested()) {
      return;
    }
    task.requestStop();
    OwnedMachine machine = task.machine().map(machines::get).orElse(null);
    if (machine == null) {
      return;
    }
    if (task.phase() == TaskPhase.STARTING) {
      // The command to start it may be in flight in the response to a heartbeat, and the command to
      // stop it may arrive first. The higher token makes the worker drop the start command then.
      raiseToken(machine, TokenRaise.STOP_OF_STARTING_TASK);
    }
    machine.commands().markPending();
  }

  /** Raises the machine's token, so that its worker drops commands under the old one. */
  void raiseToken(OwnedMachine machine, TokenRaise reason) {
    machine.raiseToken(loop.now());
    recordRaise(machine, reason);
  }

  /** Raises the machine's token in the response to a heartbeat. */
  void raiseTokenInResponse(OwnedMachine machine, TokenRaise reason) {
    machine.raiseTokenInResponse();
    recordRaise(machine, reason);
  }

  private void recordRaise(OwnedMachine machine, TokenRaise reason) {
    commandCounters.onTokenRaised(reason);
    LOG.debug("token raised, machine={} token={} reason={}", machine.id(), machine.token(), reason);
  }

  /** Changes the machine's phase; a confirmed machine does not return to reporting. */
  void transition(OwnedMachine machine, MachinePhase next) {
    if (machine.phase() == MachinePhase.CONFIRMED && next == MachinePhase.REPORTING) {
      return;
    }
    if (machine.phase() != next) {
      machine.transitionTo(next);
      markChanged(machine.id());
    }
  }

  /** Updates whether tasks of unreadable jobs run on the machine. */
  void updateUnreadableTasks(OwnedMachine machine, Set<JobId> unreadableJobs) {
    if (machine.updateUnreadableTasks(unreadableJobs)) {
      markChanged(machine.id());
    }
  }

  /** Sets the machine's liveness. */
  void updateLiveness(OwnedMachine machine, MachineLiveness liveness) {
    if (machine.updateLiveness(liveness)) {
      markChanged(machine.id());
    }
  }

  /** Records that the machine's status for the leader has changed. */
  void markChanged(MachineId machine) {
    statusReporter.markChanged(machine);
    onStatusChange.run();
  }
}
