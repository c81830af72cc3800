package org.mulleinshift.sharding;

import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.WorkerHeartbeat;

/**
 * One attempt of one task. {@code equals} and {@code hashCode} are explicit for the reason given at
 * {@link org.mulleinshift.protocol.TextId}.
 */
record TaskAttempt(TaskId task, Attempt attempt) {
  /** The attempt that an entry of a heartbeat is about. */
  static TaskAttempt of(WorkerHeartbeat.ReportedTask entry) {
    return new TaskAttempt(entry.task(), entry.attempt());
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TaskAttempt known
        && known.attempt.equals(attempt)
        && known.task.equals(task);
  }

  @Override
  public int hashCode() {
    return task.hashCode();
  }

  @Override
  public String toString() {
    return task + "@" + attempt;
  }
}
