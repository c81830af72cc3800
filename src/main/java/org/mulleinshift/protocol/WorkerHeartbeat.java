package org.mulleinshift.protocol;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** What a worker says of itself. */
public record WorkerHeartbeat(
    MachineId machine,
    String address,
    MachineTypeId type,
    ZoneId zone,
    boolean spot,
    HeartbeatVersion version,
    FencingToken highestToken,
    Optional<Duration> interruptionNotice,
    List<Entry> tasks) {

  public enum State {
    FETCHING,
    /** Has its image and waits for the other tasks of its gang. */
    WAITING,
    RUNNING,
    SAVING,
    EXITED
  }

  public enum Cause {
    NONE,
    DONE,
    STOPPED,
    ERROR,
    INSUFFICIENT_RESOURCES,
    BUSY,
    /** A gang that did not come together, or lost one of its tasks. */
    GANG_BROKEN,
    UNKNOWN
  }

  /** One task on the machine. */
  public record Entry(TaskId task, Attempt attempt, State state, Cause cause) {
    @Override
    public boolean equals(Object other) {
      return other instanceof Entry entry
          && entry.state == state
          && entry.cause == cause
          && entry.attempt.equals(attempt)
          && entry.task.equals(task);
    }

    @Override
    public int hashCode() {
      return task.hashCode();
    }
  }
}
