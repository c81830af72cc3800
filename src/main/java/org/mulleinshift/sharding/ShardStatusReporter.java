package org.mulleinshift.sharding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.peer.MachineStatus;
import org.mulleinshift.protocol.peer.ShardStatus;
import org.mulleinshift.protocol.peer.TaskStatus;
import org.mulleinshift.transport.EventLoop;

/** Builds the status messages of an owned shard: each holds the changes since an earlier one. */
final class ShardStatusReporter {
  private final EventLoop loop;
  private final ShardId shard;
  private final Revision grant;
  private final Map<MachineId, OwnedMachine> machines;
  private final Map<TaskId, OwnedTask> tasks;
  private final Runnable onStatusChange;
  private final ChangeLog<TaskId> taskChanges = new ChangeLog<>();
  private final ChangeLog<MachineId> machineChanges = new ChangeLog<>();
  private long seenTerm;
  private long seenVersion;
  private long sequence;
  private long acknowledgedSequence;

  /** Sequence number of the last periodic status, or of the last status before a resend. */
  private long periodicSequence;

  private long sentAssignmentVersion;

  /** The leader lacks a status that was sent: the next one is based on the one it acknowledged. */
  private boolean resend;

  /**
   * Creates a reporter for one shard under one grant.
   *
   * @param machines live view of the shard's machines
   * @param tasks live view of the tasks assigned to the shard
   * @param onStatusChange called when the leader should receive a status soon
   */
  ShardStatusReporter(
      EventLoop loop,
      ShardId shard,
      Revision grant,
      Map<MachineId, OwnedMachine> machines,
      Map<TaskId, OwnedTask> tasks,
      Runnable onStatusChange) {
    this.loop = loop;
    this.shard = shard;
    this.grant = grant;
    this.machines = machines;
    this.tasks = tasks;
    this.onStatusChange = onStatusChange;
  }

  /** Includes the task in the next status. */
  void markChanged(TaskId task) {
    taskChanges.recordChange(task, sequence + 1);
  }

  /** Includes the machine in the next status. */
  void markChanged(MachineId machine) {
    machineChanges.recordChange(machine, sequence + 1);
  }

  /** Discards the acknowledgements: a new leader has received no status of this shard yet. */
  void resetForNewLeader() {
    acknowledgedSequence = 0;
  }

  /** Sets the assignment version that the next status acknowledges. */
  void onAssignment(long term, long version) {
    seenTerm = term;
    seenVersion = version;
  }

  /** Handles the leader's acknowledgement of all statuses up to this sequence number. */
  void onAck(long upTo) {
    boolean behind = upTo < acknowledgedSequence;
    acknowledgedSequence = upTo;
    if (behind || upTo == 0) {
      // A new leader, or one that missed a status: all changes since are sent again.
      periodicSequence = sequence;
      resend = true;
      onStatusChange.run();
    } else {
      taskChanges.discardAcknowledged(acknowledgedSequence);
      machineChanges.discardAcknowledged(acknowledgedSequence);
    }
  }

  /** Whether there are changes that have not been sent. */
  boolean hasUnsentChanges() {
    return resend
        || seenVersion != sentAssignmentVersion
        || taskChanges.hasChangesSince(sequence)
        || machineChanges.hasChangesSince(sequence);
  }

  /** Builds a status with the changes since the last one. */
  ShardStatus incrementalStatus() {
    return buildStatus(resend ? acknowledgedSequence : sequence);
  }

  /**
   * Builds the status that is sent at intervals even without changes. It repeats all unacknowledged
   * changes if the previous periodic status was not acknowledged.
   */
  ShardStatus periodicStatus() {
    boolean acknowledged = acknowledgedSequence >= periodicSequence && !resend;
    ShardStatus status = buildStatus(acknowledged ? sequence : acknowledgedSequence);
    periodicSequence = sequence;
    return status;
  }

  private ShardStatus buildStatus(long base) {
    resend = false;
    sentAssignmentVersion = seenVersion;
    List<MachineStatus> machineStatuses = machineStatusesSince(base);
    List<TaskStatus> taskStatuses = taskStatusesSince(base);
    sequence++;
    return new ShardStatus(
        shard.value(),
        grant.value(),
        base,
        sequence,
        seenTerm,
        seenVersion,
        machineStatuses,
        taskStatuses);
  }

  private List<MachineStatus> machineStatusesSince(long base) {
    Collection<MachineId> changed =
        base == 0 ? machines.keySet() : machineChanges.changedSince(base);
    List<MachineStatus> statuses = new ArrayList<>();
    for (MachineId machine : changed) {
      Optional.ofNullable(machines.get(machine)).map(this::statusOf).ifPresent(statuses::add);
    }
    return statuses;
  }

  private MachineStatus statusOf(OwnedMachine machine) {
    return new MachineStatus(
        machine.id().value(),
        machine.reportedPhase(),
        machine.liveness().wireName(),
        machine.hasInterruptionNotice(),
        new ArrayList<>(machine.images()));
  }

  private List<TaskStatus> taskStatusesSince(long base) {
    Collection<TaskId> changed = base == 0 ? tasks.keySet() : taskChanges.changedSince(base);
    List<TaskStatus> statuses = new ArrayList<>();
    for (TaskId task : changed) {
      Optional.ofNullable(tasks.get(task)).map(this::statusOf).ifPresent(statuses::add);
    }
    return statuses;
  }

  private TaskStatus statusOf(OwnedTask task) {
    return new TaskStatus(
        task.id().job().value(),
        task.id().index(),
        task.attempt().value(),
        task.phase().wireName(),
        task.machine().map(MachineId::value).orElse(""),
        task.runTimeMillis(loop.now()));
  }
}
