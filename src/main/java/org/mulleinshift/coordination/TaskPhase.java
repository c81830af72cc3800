package org.mulleinshift.coordination;

import org.mulleinshift.protocol.WorkerReport;

/** The phases in which a holder reports a task. The last five are final for the attempt. */
enum TaskPhase {
  NEW,
  STARTING,
  FETCHING,
  RUNNING,
  SAVING,
  DONE,
  STOPPED,
  FAILED,
  REJECTED,
  LOST;

  boolean isFinal() {
    return compareTo(DONE) >= 0;
  }

  /** What a worker reports of a task. */
  static TaskPhase of(WorkerReport.Entry entry) {
    return switch (entry.state()) {
      case FETCHING, WAITING -> FETCHING;
      case RUNNING -> RUNNING;
      case SAVING -> SAVING;
      case EXITED ->
          switch (entry.cause()) {
            case DONE -> DONE;
            case STOPPED -> STOPPED;
            case NO_ROOM, BUSY, GANG_BROKEN, UNKNOWN -> REJECTED;
            case NONE, ERROR -> FAILED;
          };
    };
  }
}
