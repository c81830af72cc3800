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

/** Reconciles what workers report with the tasks that are assigned to the shard. */
final class HeartbeatReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);

  private final EventLoop loop;
  private final MachineTypeCatalog catalog;
  private final ShardState state;
  private final AssignmentReceiver assignments;

  /** A reconciler for one shard under one grant. */
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

  /** Applies a heartbeat, or the report in a worker's answer, unless a newer one was applied. */
  void apply(OwnedMachine machine, WorkerHeartbeat heartbeat) {
    if (!heartbeat.version().isAfter(machine.lastHeartbeat())) {
      return;
    }
    if (machine.isUnchanged(heartbeat)) {
      machine.onHeartbeat(heartbeat, loop.now());
      return;
    }
    boolean newEpoch = isNewEpoch(machine, heartbeat);
    recordHeartbeat(machine, heartbeat);
    boolean knowsToken = machine.isTokenKnownBy(heartbeat);
    state.transition(machine, knowsToken ? MachinePhase.CONFIRMED : MachinePhase.REPORTING);
    Set<TaskId> listed = applyTasks(machine, heartbeat);
    for (OwnedTask task : machine.tasks()) {
      if (!listed.contains(task.task())) {
        onTaskMissing(machine, task, newEpoch, knowsToken);
      }
    }
    machine.markApplied(heartbeat);
  }

  /** Whether the worker began a new epoch: nothing of the one before runs any more. */
  private boolean isNewEpoch(OwnedMachine machine, WorkerHeartbeat heartbeat) {
    long epoch = heartbeat.version().epoch();
    boolean newEpoch = epoch > machine.lastHeartbeat().epoch();
    if (newEpoch && machine.lastHeartbeat().epoch() > 0) {
      LOG.info("worker epoch began, machine={} epoch={}", machine.id(), epoch);
      // It was answered and ended its epoch all the same: the answers may not reach it.
      machine.raiseToken(loop.now());
    }
    return newEpoch;
  }

  private void recordHeartbeat(OwnedMachine machine, WorkerHeartbeat heartbeat) {
    boolean interrupted = machine.interrupted();
    machine.onHeartbeat(heartbeat, loop.now());
    if (interrupted != machine.interrupted()) {
      state.markChanged(machine.id());
    }
  }

  /** Takes over the reported tasks, and returns those that are assigned here. */
  private Set<TaskId> applyTasks(OwnedMachine machine, WorkerHeartbeat heartbeat) {
    Set<TaskId> listed = new HashSet<>();
    List<WorkerHeartbeat.ReportedTask> unassigned = new ArrayList<>();
    for (WorkerHeartbeat.ReportedTask entry : heartbeat.tasks()) {
      if (applyIfAssigned(machine, entry)) {
        listed.add(entry.task());
      } else {
        unassigned.add(entry);
      }
    }
    setUnassigned(machine, unassigned);
    return listed;
  }

  /** Takes over the tasks that machines reported before the leader's set arrived. */
  void adoptUnassignedTasks() {
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
    machine.unassignedTasks(entries);
    state.updateOccupied(machine, assignments.unreadableJobs());
  }

  private boolean applyIfAssigned(OwnedMachine machine, WorkerHeartbeat.ReportedTask entry) {
    Optional<OwnedTask> task = state.task(entry.task(), entry.attempt());
    task.ifPresent(assigned -> onTaskReported(machine, assigned, entry));
    return task.isPresent();
  }

  private void onTaskReported(
      OwnedMachine machine, OwnedTask task, WorkerHeartbeat.ReportedTask entry) {
    boolean elsewhere = task.bound() && !task.boundTo(machine.id());
    boolean confirmed = machine.phase() == MachinePhase.CONFIRMED;
    if (elsewhere && (task.placementConfirmed() || !confirmed)) {
      LOG.error(
          "task reported by two machines, task={} machine={} other={}",
          task.task(),
          task.machine().map(Object::toString).orElse(""),
          machine.id());
      return;
    }
    TaskPhase phase = TaskPhase.of(entry);
    if (phase == TaskPhase.RUNNING) {
      recordImage(machine, task);
    }
    if (task.phase() != phase || elsewhere) {
      state.bind(task, phase, machine.id());
    }
    if (confirmed) {
      task.confirmPlacement();
    }
  }

  private void recordImage(OwnedMachine machine, OwnedTask task) {
    double cacheGb = catalog.type(machine.record().type()).map(MachineType::cacheGb).orElse(0.0);
    if (machine.addImage(task.request().image(), task.request().imageGb(), cacheGb)) {
      state.markChanged(machine.id());
    }
  }

  /** A task that should be on the machine, but is not in its newest heartbeat. */
  private void onTaskMissing(
      OwnedMachine machine, OwnedTask task, boolean newEpoch, boolean knowsToken) {
    if (task.phase() != TaskPhase.STARTING || newEpoch) {
      state.finishAbsent(task);
    } else if (task.stopRequested() && knowsToken && !machine.directCommandInFlight()) {
      // Never started, and no command under an older token can start it any more.
      state.finish(task, TaskPhase.STOPPED);
    } else {
      machine.markCommandsPending();
    }
  }
}
