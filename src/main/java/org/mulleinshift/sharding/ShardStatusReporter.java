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

/** Writes the statuses of an owned shard: each holds what has changed since another one. */
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

  /** The sequence number of the last periodic status, or of the last before a resend. */
  private long periodicSequence;

  private long sentAssignmentVersion;

  /** The leader does not know what it was sent: the next status is built on what it does know. */
  private boolean resend;

  /**
   * A reporter for one shard under one grant.
   *
   * @param machines of the shard, as of now at any time
   * @param tasks assigned to it, as of now at any time
   * @param onStatusChange run when the leader should receive a status soon
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

  /** The next status holds the task. */
  void markChanged(TaskId task) {
    taskChanges.changed(task, sequence + 1);
  }

  /** The next status holds the machine. */
  void markChanged(MachineId machine) {
    machineChanges.changed(machine, sequence + 1);
  }

  /** A new leader knows nothing of this shard yet. */
  void resetForNewLeader() {
    acknowledgedSequence = 0;
  }

  /** The assignment that the next status acknowledges. */
  void onAssignment(long term, long version) {
    seenTerm = term;
    seenVersion = version;
  }

  /** The leader knows the shard up to this status. */
  void onAck(long upTo) {
    boolean behind = upTo < acknowledgedSequence;
    acknowledgedSequence = upTo;
    if (behind || upTo == 0) {
      // Another leader, or one that missed a status: it is sent everything since once more.
      periodicSequence = sequence;
      resend = true;
      onStatusChange.run();
    } else {
      taskChanges.acknowledged(acknowledgedSequence);
      machineChanges.acknowledged(acknowledgedSequence);
    }
  }

  /** Whether anything has changed that was not sent yet. */
  boolean hasUnsentChanges() {
    return resend
        || seenVersion != sentAssignmentVersion
        || taskChanges.anySince(sequence)
        || machineChanges.anySince(sequence);
  }

  /** What has changed since the last status. */
  ShardStatus incrementalStatus() {
    return buildStatus(resend ? acknowledgedSequence : sequence);
  }

  /** Sent even without changes; repeats what has stayed unacknowledged since the one before. */
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
    Collection<MachineId> changed = base == 0 ? machines.keySet() : machineChanges.since(base);
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
    Collection<TaskId> changed = base == 0 ? tasks.keySet() : taskChanges.since(base);
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
