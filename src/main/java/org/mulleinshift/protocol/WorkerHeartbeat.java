package org.mulleinshift.protocol;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The status that a worker sends as a heartbeat, and in response to status requests and commands.
 *
 * @param machine the machine's name
 * @param address address at which the worker accepts commands
 * @param type the machine's type
 * @param zone the machine's zone
 * @param spot whether it is a spot machine
 * @param version orders the worker's messages
 * @param highestToken the highest fencing token that the worker has seen
 * @param interruptionNotice time until the cloud reclaims the machine, if it has announced that
 * @param tasks all tasks on the machine, including exited ones that the worker has not been told to
 *     forget
 */
public record WorkerHeartbeat(
    MachineId machine,
    String address,
    MachineTypeId type,
    ZoneId zone,
    boolean spot,
    HeartbeatVersion version,
    FencingToken highestToken,
    Optional<Duration> interruptionNotice,
    List<ReportedTask> tasks) {

  /** The state of a task on a machine. */
  public enum TaskState {
    /** The machine fetches its image. */
    FETCHING,
    /** Its image is present; it waits for the other tasks of its gang. */
    WAITING,
    RUNNING,
    /** It was told to stop and is saving a checkpoint. */
    SAVING,
    /** It has ended; {@link ExitCause} says why. */
    EXITED
  }

  /** Why a task has ended. */
  public enum ExitCause {
    /** It has not ended. */
    NONE,
    /** Completed. */
    DONE,
    /** Stopped by a command. */
    STOPPED,
    /** Failed, usually because of its machine, or exited with a cause unknown to this build. */
    ERROR,
    /** Not started: the machine has too few free resources. */
    INSUFFICIENT_RESOURCES,
    /** Not started: another attempt of the task has not exited on this machine. */
    OTHER_ATTEMPT_PRESENT,
    /** The tasks of its gang did not all start in time, or one of them was lost. */
    GANG_FAILED,
    /** Not started: no such job or task has been submitted. */
    NO_SUCH_TASK
  }

  /**
   * A task on the machine. {@code equals} and {@code hashCode} are explicit for the reason given at
   * {@link TextId}.
   */
  public record ReportedTask(TaskId task, Attempt attempt, TaskState state, ExitCause exitCause) {
    @Override
    public boolean equals(Object other) {
      return other instanceof ReportedTask entry
          && entry.state == state
          && entry.exitCause == exitCause
          && entry.attempt.equals(attempt)
          && entry.task.equals(task);
    }

    @Override
    public int hashCode() {
      return task.hashCode();
    }
  }
}
