package org.mulleinshift.protocol;

import java.time.Duration;

/** A command to a worker. */
public sealed interface WorkerCommand {
  TaskId task();

  Attempt attempt();

  record Run(TaskId task, Attempt attempt) implements WorkerCommand {}

  record Halt(TaskId task, Attempt attempt, Duration grace) implements WorkerCommand {}

  record Forget(TaskId task, Attempt attempt) implements WorkerCommand {}
}
