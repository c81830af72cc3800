package org.mulleinshift.sharding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.WorkerCommand;
import org.mulleinshift.protocol.WorkerHeartbeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Determines the commands that a machine's worker has yet to carry out. */
final class CommandPlanner {
  /**
   * A worker may list thousands of exited tasks to forget; commands beyond the limit follow in the
   * response to its next heartbeat.
   */
  private static final int MAX_COMMANDS_PER_MESSAGE = 200;

  private static final Logger LOG = LoggerFactory.getLogger(CommandPlanner.class);
  private static final int MILLIS_PER_SECOND = 1000;

  private final Predicate<JobId> cancelled;
  private final AssignmentReceiver assignments;

  /**
   * Creates a planner for one shard under one grant.
   *
   * @param cancelled tells whether a job is known to be cancelled
   */
  CommandPlanner(Predicate<JobId> cancelled, AssignmentReceiver assignments) {
    this.cancelled = cancelled;
    this.assignments = assignments;
  }

  /**
   * Returns all commands that the machine's worker has yet to carry out, up to the limit; commands
   * are idempotent, so each message repeats them. Stop commands come first, so that a response that
   * renews the worker's lease also tells it what to stop.
   */
  List<WorkerCommand> commandsFor(OwnedMachine machine) {
    List<WorkerCommand> stops = new ArrayList<>();
    List<WorkerCommand> others = new ArrayList<>();
    for (WorkerHeartbeat.ReportedTask entry : machine.unassignedTasks()) {
      boolean exited = entry.state() == WorkerHeartbeat.TaskState.EXITED;
      if (!exited && assignments.mustStopUnassigned(entry.task().job())) {
        LOG.debug("attempt not assigned, machine={} attempt={}", machine.id(), entry);
        stops.add(new WorkerCommand.Stop(entry.task(), entry.attempt(), Duration.ZERO));
      } else if (exited && mayForget(machine, entry) && isFenced(machine, entry)) {
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
   * Whether the token must be raised before the machine's worker may forget all that it should. To
   * be done in the response to a heartbeat only: a direct message with a higher token would make
   * the worker drop a response that is on its way, which renews its lease.
   */
  boolean mustRaiseTokenToForget(OwnedMachine machine) {
    return machine.unassignedTasks().stream()
        .filter(entry -> entry.state() == WorkerHeartbeat.TaskState.EXITED)
        .anyMatch(entry -> mayForget(machine, entry) && !isFenced(machine, entry));
  }

  /** Whether the machine's current token makes its worker drop all that may start the attempt. */
  private static boolean isFenced(OwnedMachine machine, WorkerHeartbeat.ReportedTask entry) {
    return machine.isFenced(TaskAttempt.of(entry), machine.token());
  }

  /**
   * Whether an exited attempt is over for the leader, which no longer assigns it once its end is
   * stored. A forget waits for the answers to messages that start the attempt, so that the higher
   * token does not make the worker refuse them.
   */
  private boolean mayForget(OwnedMachine machine, WorkerHeartbeat.ReportedTask exited) {
    return assignments.isAuthoritativeFor(exited.task().job())
        && !machine.commands().mayStart(exited.task(), exited.attempt());
  }

  private Duration gracePeriodOf(OwnedTask task) {
    // The progress of a cancelled job is not needed.
    return cancelled.test(task.id().job())
        ? Duration.ZERO
        : Duration.ofMillis((long) (task.saveSeconds() * MILLIS_PER_SECOND));
  }
}
