package org.mulleinshift.protocol;

import java.time.Duration;

/** A command to a worker. */
public sealed interface Order {
  TaskId task();

  Attempt attempt();

  record Run(TaskId task, Attempt attempt) implements Order {}

  record Halt(TaskId task, Attempt attempt, Duration grace) implements Order {}

  record Forget(TaskId task, Attempt attempt) implements Order {}
}
