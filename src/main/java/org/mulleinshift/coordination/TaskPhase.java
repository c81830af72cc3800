package org.mulleinshift.coordination;

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
    return ordinal() >= DONE.ordinal();
  }
}
