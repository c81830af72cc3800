package org.mulleinshift.sharding;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.mulleinshift.protocol.WorkerHeartbeat;

/** The phases in which an owner reports a task. The last five are final for the attempt. */
public enum TaskPhase {
  /** Assigned to the shard; no machine has been chosen yet. */
  NEW("NEW"),
  /** A machine has been chosen; its worker has not reported the task yet. */
  STARTING("STARTING"),
  FETCHING("FETCHING"),
  RUNNING("RUNNING"),
  SAVING("SAVING"),
  DONE("DONE"),
  STOPPED("STOPPED"),
  FAILED("FAILED"),
  /** It was not started, or its gang failed; it must be assigned again. */
  REJECTED("REJECTED"),
  /** It was on a machine and is provably no longer there. */
  LOST("LOST");

  private static final Map<String, TaskPhase> BY_WIRE_NAME =
      Arrays.stream(values())
          .collect(Collectors.toUnmodifiableMap(TaskPhase::wireName, Function.identity()));

  private final String wireName;

  TaskPhase(String wireName) {
    this.wireName = wireName;
  }

  /** The name of the phase in peer frames. */
  String wireName() {
    return wireName;
  }

  /**
   * Returns the phase with this name in peer frames.
   *
   * @throws IllegalArgumentException if no phase has that name
   */
  public static TaskPhase fromWireName(String wireName) {
    TaskPhase phase = BY_WIRE_NAME.get(wireName);
    if (phase == null) {
      throw new IllegalArgumentException("unknown task phase " + wireName);
    }
    return phase;
  }

  /** Whether the attempt has ended. */
  boolean isFinal() {
    return compareTo(DONE) >= 0;
  }

  /** The phase that corresponds to a worker's report of a task. */
  static TaskPhase of(WorkerHeartbeat.ReportedTask entry) {
    return switch (entry.state()) {
      case FETCHING, WAITING -> FETCHING;
      case RUNNING -> RUNNING;
      case SAVING -> SAVING;
      case EXITED ->
          switch (entry.exitCause()) {
            case DONE -> DONE;
            case STOPPED -> STOPPED;
            case INSUFFICIENT_RESOURCES, OTHER_ATTEMPT_PRESENT, GANG_FAILED, NO_SUCH_TASK ->
                REJECTED;
            case NONE, ERROR -> FAILED;
          };
    };
  }
}
