package org.mulleinshift.sharding;

import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.WorkerHeartbeat;

/** One attempt of one task. */
record TaskAttempt(TaskId task, Attempt attempt) {
  /** The attempt that an entry of a heartbeat is about. */
  static TaskAttempt of(WorkerHeartbeat.ReportedTask entry) {
    return new TaskAttempt(entry.task(), entry.attempt());
  }

  @Override
  public String toString() {
    return task + "@" + attempt;
  }
}
