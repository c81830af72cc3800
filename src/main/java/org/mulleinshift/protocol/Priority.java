package org.mulleinshift.protocol;

/** Scheduling priority of a job, from the highest to the lowest. */
public enum Priority {
  PRODUCTION("production", 0),
  HIGH("urgent", 1),
  NORMAL("standard", 2),
  LOW("idle", 3);

  private final String wireName;
  private final int rank;

  Priority(String wireName, int rank) {
    this.wireName = wireName;
    this.rank = rank;
  }

  /** The name of this priority in submissions. */
  public String wireName() {
    return wireName;
  }

  /** The position in the order of priorities; 0 is the highest priority. */
  public int rank() {
    return rank;
  }

  /** Whether this is a higher priority than the other. */
  public boolean isAbove(Priority other) {
    return rank < other.rank;
  }
}
