package org.mulleinshift.sharding;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.peer.MachineStatus;
import org.mulleinshift.protocol.peer.ShardStatus;
import org.mulleinshift.protocol.peer.TaskStatus;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/** What an owner tells the leader of its shard: each report holds what is new since another one. */
final class ShardStatusReporter {
  private final EventLoop loop;
  private final ShardId id;
  private final Revision grant;
  private final Map<MachineId, OwnedMachine> machines;
  private final Map<TaskId, OwnedTask> tasks;
  private final Runnable onStatusChange;
  private final ChangeLog<TaskId> taskChanges = new ChangeLog<>();
  private final ChangeLog<MachineId> machineChanges = new ChangeLog<>();
  private long seenTerm;
  private long seenVersion;
  private long sequence;
  private long confirmedSequence;
  private long regularSequence;
  private long sentAssignmentVersion;
  private boolean resend;

  ShardStatusReporter(
      EventLoop loop,
      ShardId id,
      Revision grant,
      Map<MachineId, OwnedMachine> machines,
      Map<TaskId, OwnedTask> tasks,
      Runnable onNews) {
    this.loop = loop;
    this.id = id;
    this.grant = grant;
    this.machines = machines;
    this.tasks = tasks;
    this.onStatusChange = onNews;
  }

  void markChanged(TaskId task) {
    taskChanges.changed(task, sequence + 1);
  }

  void markChanged(MachineId machine) {
    machineChanges.changed(machine, sequence + 1);
  }

  /** A new leader knows nothing of this shard yet. */
  void resetForNewLeader() {
    confirmedSequence = 0;
  }

  /** The assignment that the next report confirms. */
  void onAssignment(long term, long version) {
    seenTerm = term;
    seenVersion = version;
  }

  /** The leader knows the shard up to this report. */
  void onAck(long upTo) {
    boolean behind = upTo < confirmedSequence;
    confirmedSequence = upTo;
    if (behind || upTo == 0) {
      // Another leader, or one that missed a report: it is told again from there.
      regularSequence = sequence;
      resend = true;
      onStatusChange.run();
    } else {
      taskChanges.confirmed(confirmedSequence);
      machineChanges.confirmed(confirmedSequence);
    }
  }

  /** Whether there is anything to tell that was not yet sent. */
  boolean hasUnsentChanges() {
    return resend
        || seenVersion != sentAssignmentVersion
        || taskChanges.anySince(sequence)
        || machineChanges.anySince(sequence);
  }

  /** What is new since the last report. */
  ShardStatus incrementalStatus() {
    return buildStatus(resend ? confirmedSequence : sequence);
  }

  /** Sent even without news; tells again what has stayed unconfirmed since the one before. */
  ShardStatus periodicStatus() {
    boolean confirmed = confirmedSequence >= regularSequence && !resend;
    ShardStatus report = buildStatus(confirmed ? sequence : confirmedSequence);
    regularSequence = sequence;
    return report;
  }

  private ShardStatus buildStatus(long base) {
    resend = false;
    sentAssignmentVersion = seenVersion;
    MonotonicTime now = loop.now();
    List<MachineStatus> machineReports = new ArrayList<>();
    for (MachineId id : base == 0 ? List.copyOf(machines.keySet()) : machineChanges.since(base)) {
      OwnedMachine machine = machines.get(id);
      if (machine != null) {
        machineReports.add(
            new MachineStatus(
                id.value(),
                machine.reportedPhase(),
                machine.liveness().wireName(),
                machine.interrupted(),
                new ArrayList<>(machine.images())));
      }
    }
    List<TaskStatus> taskReports = new ArrayList<>();
    for (TaskId id : base == 0 ? List.copyOf(tasks.keySet()) : taskChanges.since(base)) {
      OwnedTask task = tasks.get(id);
      if (task != null) {
        taskReports.add(
            new TaskStatus(
                id.job().value(),
                id.index(),
                task.attempt().value(),
                task.phase().wireName(),
                task.machine().map(MachineId::value).orElse(""),
                task.ranMillis(now)));
      }
    }
    return new ShardStatus(
        id.value(),
        grant.value(),
        base,
        ++sequence,
        seenTerm,
        seenVersion,
        machineReports,
        taskReports);
  }
}
