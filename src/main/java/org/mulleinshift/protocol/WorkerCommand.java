package org.mulleinshift.protocol;

import java.time.Duration;

/** A command to a worker, about one attempt of a task. */
public sealed interface WorkerCommand {
  /** The task that the command is about. */
  TaskId task();

  /** The attempt that the command is about; other attempts are not affected. */
  Attempt attempt();

  /** Starts an attempt; no effect if the worker already knows the attempt. */
  record Run(TaskId task, Attempt attempt) implements WorkerCommand {}

  /**
   * Stops an attempt.
   *
   * @param grace time that the task has to save a checkpoint; zero: it is stopped immediately
   */
  record Stop(TaskId task, Attempt attempt, Duration grace) implements WorkerCommand {}

  /**
   * Removes an exited attempt from the worker's heartbeats. Sent only once the end of the attempt
   * is stored.
   */
  record Forget(TaskId task, Attempt attempt) implements WorkerCommand {}
}
