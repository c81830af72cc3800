package org.mulleinshift.sharding;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.WorkerHeartbeat;
import org.mulleinshift.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reconciles the tasks that workers report with the tasks that are assigned to the shard. */
final class HeartbeatReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);

  private final EventLoop loop;
  private final MachineTypeCatalog catalog;
  private final ShardState state;
  private final AssignmentReceiver assignments;

  /** Creates a reconciler for one shard under one grant. */
  HeartbeatReconciler(
      EventLoop loop,
      MachineTypeCatalog catalog,
      ShardState state,
      AssignmentReceiver assignments) {
    this.loop = loop;
    this.catalog = catalog;
    this.state = state;
    this.assignments = assignments;
  }

  /**
   * Applies a heartbeat, or the report in a worker's response to a direct message, if it is newer
   * than the last one applied.
   */
  void apply(OwnedMachine machine, WorkerHeartbeat heartbeat) {
    if (!heartbeat.version().isAfter(machine.lastHeartbeatVersion())) {
      return;
    }
    if (machine.isUnchangedBy(heartbeat)) {
      machine.onHeartbeat(heartbeat, loop.now());
      return;
    }
    boolean newEpoch = isNewEpoch(machine, heartbeat);
    reportListedAgain(machine, heartbeat);
    recordHeartbeat(machine, heartbeat);
    boolean tokenAcknowledged = machine.isTokenAcknowledgedBy(heartbeat);
    state.transition(machine, tokenAcknowledged ? MachinePhase.CONFIRMED : MachinePhase.REPORTING);
    Set<TaskId> reportedAssigned = applyTasks(machine, heartbeat);
    for (OwnedTask task : machine.tasks()) {
      if (!reportedAssigned.contains(task.id())) {
        onTaskMissing(machine, task, heartbeat, newEpoch);
      }
    }
    fenceMissingAttempts(machine, heartbeat, newEpoch);
    machine.markApplied(heartbeat);
  }

  /**
   * Raises the token if the worker no longer knows an attempt that a message under the current one
   * may start again. Commands that were sent in an earlier epoch are refused in any case.
   */
  private void fenceMissingAttempts(
      OwnedMachine machine, WorkerHeartbeat heartbeat, boolean newEpoch) {
    StartTokens starts = machine.commands().startTokens();
    Set<TaskAttempt> accountedFor = machine.attemptsAccountedFor(heartbeat);
    if (newEpoch) {
      starts.retainOnly(accountedFor);
      return;
    }
    starts
        .onReport(accountedFor, heartbeat.highestToken())
        .filter(token -> token.compareTo(machine.token()) >= 0)
        .ifPresent(token -> state.raiseToken(machine, TokenRaise.ATTEMPT_MISSING));
  }

  /** Whether the worker began a new epoch: no task of the previous one runs any more. */
  private boolean isNewEpoch(OwnedMachine machine, WorkerHeartbeat heartbeat) {
    long epoch = heartbeat.version().epoch();
    boolean newEpoch = epoch > machine.lastHeartbeatVersion().epoch();
    if (newEpoch && machine.lastHeartbeatVersion().epoch() > 0) {
      LOG.info("worker epoch began, machine={} epoch={}", machine.id(), epoch);
      // Its lease expired although this node responds to it, so it may not receive the responses.
      state.raiseToken(machine, TokenRaise.EPOCH_BEGAN);
    }
    return newEpoch;
  }

  private void reportListedAgain(OwnedMachine machine, WorkerHeartbeat heartbeat) {
    for (TaskAttempt attempt : machine.commands().onNewerReport(heartbeat)) {
      state.commandCounters().onListedAgain();
      LOG.warn(
          "forgotten attempt listed again, machine={} attempt={} epoch={} token={} worker_token={}",
          machine.id(),
          attempt,
          heartbeat.version().epoch(),
          machine.token(),
          heartbeat.highestToken());
    }
  }

  private void recordHeartbeat(OwnedMachine machine, WorkerHeartbeat heartbeat) {
    boolean interrupted = machine.hasInterruptionNotice();
    machine.onHeartbeat(heartbeat, loop.now());
    if (interrupted != machine.hasInterruptionNotice()) {
      state.markChanged(machine.id());
    }
  }

  /** Applies the reported tasks, and returns those that are assigned to the shard. */
  private Set<TaskId> applyTasks(OwnedMachine machine, WorkerHeartbeat heartbeat) {
    Set<TaskId> reportedAssigned = new HashSet<>();
    List<WorkerHeartbeat.ReportedTask> unassigned = new ArrayList<>();
    for (WorkerHeartbeat.ReportedTask entry : heartbeat.tasks()) {
      if (applyIfAssigned(machine, entry)) {
        reportedAssigned.add(entry.task());
      } else {
        unassigned.add(entry);
      }
    }
    setUnassigned(machine, unassigned);
    return reportedAssigned;
  }

  /** Applies the tasks that machines reported before the leader's assignment of them arrived. */
  void reconcileUnassignedTasks() {
    for (OwnedMachine machine : state.machines()) {
      List<WorkerHeartbeat.ReportedTask> remaining = new ArrayList<>();
      for (WorkerHeartbeat.ReportedTask entry : machine.unassignedTasks()) {
        if (!applyIfAssigned(machine, entry)) {
          remaining.add(entry);
        }
      }
      setUnassigned(machine, remaining);
    }
  }

  private void setUnassigned(OwnedMachine machine, List<WorkerHeartbeat.ReportedTask> entries) {
    machine.setUnassignedTasks(entries);
    state.updateUnreadableTasks(machine, assignments.unreadableJobs());
  }

  private boolean applyIfAssigned(OwnedMachine machine, WorkerHeartbeat.ReportedTask entry) {
    Optional<OwnedTask> task = state.task(entry.task(), entry.attempt());
    task.ifPresent(assigned -> onTaskReported(machine, assigned, entry));
    return task.isPresent();
  }

  private void onTaskReported(
      OwnedMachine machine, OwnedTask task, WorkerHeartbeat.ReportedTask entry) {
    boolean boundElsewhere = task.isBound() && !task.isBoundTo(machine.id());
    boolean confirmed = machine.phase() == MachinePhase.CONFIRMED;
    if (boundElsewhere && (task.placementConfirmed() || !confirmed)) {
      LOG.error(
          "task reported by two machines, task={} machine={} other={}",
          task.id(),
          task.machine().map(Object::toString).orElse(""),
          machine.id());
      return;
    }
    TaskPhase phase = TaskPhase.of(entry);
    if (phase == TaskPhase.RUNNING) {
      recordImage(machine, task);
    }
    if (task.phase() != phase || boundElsewhere) {
      state.bind(task, phase, machine.id());
    }
    if (confirmed) {
      task.confirmPlacement();
    }
  }

  private void recordImage(OwnedMachine machine, OwnedTask task) {
    double cacheGb =
        catalog.type(machine.record().type()).map(MachineType::imageCacheGb).orElse(0.0);
    if (machine.recordImageUse(task.request().image(), task.request().imageGb(), cacheGb)) {
      state.markChanged(machine.id());
    }
  }

  /** Handles a task that is bound to the machine, but missing from its newest heartbeat. */
  private void onTaskMissing(
      OwnedMachine machine, OwnedTask task, WorkerHeartbeat heartbeat, boolean newEpoch) {
    if (newEpoch) {
      state.markAbsent(task);
    } else if (task.phase() != TaskPhase.STARTING) {
      if (machine.isCertainlyAbsent(task, heartbeat.highestToken())) {
        state.markAbsent(task);
      }
    } else if (task.stopRequested()
        && machine.isTokenAcknowledgedBy(heartbeat)
        && !machine.commands().isDirectMessageInFlight()) {
      // It never started, and the worker drops any command to start it under an older token.
      state.finish(task, TaskPhase.STOPPED);
    } else {
      machine.commands().markPending();
    }
  }
}
