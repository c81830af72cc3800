package org.mulleinshift.protocol;

/** What becomes of a job's tasks. */
public enum JobKind {
  /** Each task runs to completion. */
  ARRAY("batch"),
  /** All tasks run at the same time, each to completion. */
  GANG("gang"),
  /** The tasks run until the job is cancelled. */
  SERVICE("standing");

  private final String wireName;

  JobKind(String wire) {
    this.wireName = wire;
  }

  /** The name of this kind in submissions. */
  public String wireName() {
    return wireName;
  }
}
