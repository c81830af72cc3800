package org.mulleinshift.protocol;

/** How urgent a job is; the most urgent one comes first. */
public enum Priority {
  PRODUCTION("production", 0),
  HIGH("urgent", 1),
  NORMAL("standard", 2),
  LOW("idle", 3);

  private final String wireName;
  private final int rank;

  Priority(String wire, int rank) {
    this.wireName = wire;
    this.rank = rank;
  }

  /** The name of this priority in submissions. */
  public String wireName() {
    return wireName;
  }

  /** Its place in the order of priorities; 0 is the most urgent. */
  public int rank() {
    return rank;
  }

  /** Whether this is more urgent than the other. */
  public boolean isAbove(Priority other) {
    return rank < other.rank;
  }
}
