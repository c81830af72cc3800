package org.mulleinshift.protocol;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The status that a worker sends with each heartbeat, and in response to commands.
 *
 * @param machine the machine's name
 * @param address where the worker takes commands
 * @param type of the machine
 * @param zone of the machine
 * @param spot whether it is a spot machine
 * @param version orders the worker's messages
 * @param highestToken the highest fencing token that the worker has seen
 * @param interruptionNotice time until the cloud takes the machine away, if announced
 * @param tasks all tasks on the machine, including exited ones that it was not told to forget
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

  /** What a task on a machine does. */
  public enum TaskState {
    /** Waits for its image. */
    FETCHING,
    /** Has its image and waits for the other tasks of its gang. */
    WAITING,
    RUNNING,
    /** Was told to stop, and saves a checkpoint. */
    SAVING,
    /** Has ended, see its {@link ExitCause}. */
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
    /** Failed, mostly because of its machine. */
    ERROR,
    /** Not started: the machine has too few free resources. */
    INSUFFICIENT_RESOURCES,
    /** Not started: another attempt of the task is on the machine. */
    OTHER_ATTEMPT_PRESENT,
    /** The tasks of its gang did not all start in time, or one of them was lost. */
    GANG_FAILED,
    /** Not started: no such job or task has been submitted. */
    NO_SUCH_TASK
  }

  /**
   * One task on the machine. Why {@code equals} and {@code hashCode} are written out: see {@link
   * TextId}.
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
