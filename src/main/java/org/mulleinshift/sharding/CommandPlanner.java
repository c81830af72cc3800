package org.mulleinshift.sharding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.WorkerCommand;
import org.mulleinshift.protocol.WorkerHeartbeat;

/** Lists the commands that a machine's worker still has to carry out. */
final class CommandPlanner {
  /** The rest comes with the next heartbeat; a machine may know thousands of ended tasks. */
  private static final int MAX_COMMANDS_PER_MESSAGE = 200;

  private static final int MILLIS_PER_SECOND = 1000;

  private final Predicate<JobId> cancelled;
  private final AssignmentReceiver assignments;

  /**
   * A planner for one shard under one grant.
   *
   * @param cancelled whether a job is known to be cancelled
   */
  CommandPlanner(Predicate<JobId> cancelled, AssignmentReceiver assignments) {
    this.cancelled = cancelled;
    this.assignments = assignments;
  }

  /**
   * Everything the machine still has to do, in one go: every command can be repeated. What must
   * stop comes first: an answer that reaches the worker then never keeps it alive without telling
   * it so.
   */
  List<WorkerCommand> commandsFor(OwnedMachine machine) {
    List<WorkerCommand> stops = new ArrayList<>();
    List<WorkerCommand> others = new ArrayList<>();
    for (WorkerHeartbeat.ReportedTask entry : machine.unassignedTasks()) {
      boolean exited = entry.state() == WorkerHeartbeat.State.EXITED;
      if (!exited && assignments.mustStopUnassigned(entry.task().job())) {
        stops.add(new WorkerCommand.Stop(entry.task(), entry.attempt(), Duration.ZERO));
      } else if (exited && mayForget(machine, entry)) {
        others.add(new WorkerCommand.Forget(entry.task(), entry.attempt()));
      }
    }
    for (OwnedTask task : machine.tasks()) {
      if (task.stopRequested()) {
        stops.add(new WorkerCommand.Stop(task.id(), task.attempt(), gracePeriodOf(task)));
      } else if (task.phase() == TaskPhase.STARTING) {
        others.add(new WorkerCommand.Run(task.id(), task.attempt()));
      }
    }
    stops.addAll(others);
    return stops.subList(0, Math.min(MAX_COMMANDS_PER_MESSAGE, stops.size()));
  }

  /**
   * The leader no longer assigns the attempt, so its completion is stored. A command that is still
   * on its way would start a forgotten attempt again.
   */
  private boolean mayForget(OwnedMachine machine, WorkerHeartbeat.ReportedTask exited) {
    return assignments.isAuthoritativeFor(exited.task().job()) && !machine.directCommandInFlight();
  }

  private Duration gracePeriodOf(OwnedTask task) {
    // Nobody has any use for the progress of a cancelled job.
    return cancelled.test(task.id().job())
        ? Duration.ZERO
        : Duration.ofMillis((long) (task.saveSeconds() * MILLIS_PER_SECOND));
  }
}
