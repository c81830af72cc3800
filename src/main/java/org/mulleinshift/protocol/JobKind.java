package org.mulleinshift.protocol;

/** How the tasks of a job are started and when they end. */
public enum JobKind {
  /** Tasks are independent; each runs to completion. */
  ARRAY("batch"),
  /** All tasks run at the same time, each to completion. */
  GANG("gang"),
  /** Tasks run until the job is cancelled. */
  SERVICE("standing");

  private final String wireName;

  JobKind(String wireName) {
    this.wireName = wireName;
  }

  /** The name of this kind in submissions. */
  public String wireName() {
    return wireName;
  }
}
