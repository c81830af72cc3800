package org.mulleinshift.protocol;

import java.time.Duration;

/** A command to a worker. */
public sealed interface WorkerCommand {
  /** The task that is commanded. */
  TaskId task();

  /** The attempt that is commanded; another attempt is left alone. */
  Attempt attempt();

  /** Starts an attempt, unless the worker already knows it. */
  record Run(TaskId task, Attempt attempt) implements WorkerCommand {}

  /**
   * Stops an attempt.
   *
   * @param grace time to save a checkpoint; zero: stop immediately
   */
  record Stop(TaskId task, Attempt attempt, Duration grace) implements WorkerCommand {}

  /** Removes an exited attempt from the worker's heartbeats; only after its end is stored. */
  record Forget(TaskId task, Attempt attempt) implements WorkerCommand {}
}
