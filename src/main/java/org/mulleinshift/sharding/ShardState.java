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

/**
 * The machines of an owned shard and the tasks assigned to it. Every change passes here, so that
 * the tasks of each machine, the unplaced tasks and the status for the leader stay in step.
 */
final class ShardState {
  private final EventLoop loop;
  private final Revision grant;
  private final Runnable onStatusChange;
  private final Map<MachineId, OwnedMachine> machines = new TreeMap<>();
  private final Map<TaskId, OwnedTask> tasks = new LinkedHashMap<>();
  private final Set<OwnedTask> unplacedTasks = new LinkedHashSet<>();
  private final ShardStatusReporter statusReporter;
  private Revision appliedRevision = new Revision(0);

  /**
   * A shard without machines or tasks.
   *
   * @param grant under which this node owns the shard
   * @param onStatusChange run when the leader should receive a status soon
   */
  ShardState(EventLoop loop, ShardId id, Revision grant, Runnable onStatusChange) {
    this.loop = loop;
    this.grant = grant;
    this.onStatusChange = onStatusChange;
    this.statusReporter = new ShardStatusReporter(loop, id, grant, machines, tasks, onStatusChange);
  }

  ShardStatusReporter statusReporter() {
    return statusReporter;
  }

  /** All machines, in the order of their ids. */
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

  /** The task, if this very attempt is assigned here. */
  Optional<OwnedTask> task(TaskId id, Attempt attempt) {
    return Optional.ofNullable(tasks.get(id)).filter(task -> task.attempt().equals(attempt));
  }

  /** Tasks that no machine was chosen for yet. */
  Set<OwnedTask> unplacedTasks() {
    return unplacedTasks;
  }

  /**
   * Applies the shard's machines as stored. A machine that is no longer there was deleted for
   * certain.
   *
   * @return whether the record differs from the last one
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

  /** Adds a task that was just assigned; it replaces an earlier attempt. */
  void add(OwnedTask task) {
    Optional.ofNullable(tasks.get(task.id())).ifPresent(this::unbind);
    tasks.put(task.id(), task);
    unplacedTasks.add(task);
    statusReporter.markChanged(task.id());
  }

  /** The task is no longer assigned to this shard. */
  void remove(TaskId id) {
    Optional.ofNullable(tasks.remove(id)).ifPresent(this::unbind);
  }

  /** Removes all tasks but these. */
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

  /** The task is on the machine, or possibly is, in that phase. */
  void bind(OwnedTask task, TaskPhase phase, MachineId machine) {
    transitionTask(task, phase, Optional.of(machine));
  }

  /** The task has ended, wherever it was. */
  void finish(OwnedTask task, TaskPhase finalPhase) {
    transitionTask(task, finalPhase, Optional.empty());
  }

  /**
   * The task is provably absent from its machine. If it was never confirmed to be there it may be
   * on another one: it waits until all are accounted for, as at the beginning of the grant.
   */
  void markAbsent(OwnedTask task) {
    if (task.placementConfirmed()) {
      finish(task, task.stopRequested() ? TaskPhase.STOPPED : TaskPhase.LOST);
    } else {
      transitionTask(task, TaskPhase.NEW, Optional.empty());
      unplacedTasks.add(task);
    }
  }

  /** Nothing can run on the machine any more. */
  void markAllAbsent(OwnedMachine machine) {
    machine.tasks().forEach(this::markAbsent);
  }

  /** All changes of a task's phase pass here, so that what is indexed by it stays in step. */
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

  /** The task is to stop, by the leader's or a user's request. */
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
      // The command to start it may be on its way in an answer to a heartbeat, and the command to
      // stop it may arrive first: under a higher token the worker drops the other.
      machine.raiseToken(loop.now());
    }
    machine.markCommandsPending();
  }

  /** Advances the machine's phase; a confirmed machine does not go back to reporting. */
  void transition(OwnedMachine machine, MachinePhase next) {
    if (machine.phase() == MachinePhase.CONFIRMED && next == MachinePhase.REPORTING) {
      return;
    }
    if (machine.phase() != next) {
      machine.transitionTo(next);
      markChanged(machine.id());
    }
  }

  /** Notes whether tasks run on the machine that this build must leave alone. */
  void updateUnreadableTasks(OwnedMachine machine, Set<JobId> unreadableJobs) {
    if (machine.updateUnreadableTasks(unreadableJobs)) {
      markChanged(machine.id());
    }
  }

  /** Notes how long the machine has not been heard, as far as it matters to the leader. */
  void updateLiveness(OwnedMachine machine, MachineLiveness liveness) {
    if (machine.updateLiveness(liveness)) {
      markChanged(machine.id());
    }
  }

  /** The machine's status has changed for the leader. */
  void markChanged(MachineId machine) {
    statusReporter.markChanged(machine);
    onStatusChange.run();
  }
}
