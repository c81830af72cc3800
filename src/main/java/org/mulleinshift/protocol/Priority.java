package org.mulleinshift.protocol;

/** How urgent a job is; the most urgent one comes first. */
public enum Priority {
  PRODUCTION("production", 0),
  HIGH("urgent", 1),
  NORMAL("standard", 2),
  LOW("idle", 3);

  private final String wire;
  private final int rank;

  Priority(String wire, int rank) {
    this.wire = wire;
    this.rank = rank;
  }

  /** The name of this priority in submissions. */
  public String wire() {
    return wire;
  }

  /** Its place in the order of priorities; 0 is the most urgent. */
  public int rank() {
    return rank;
  }

  /** Whether this is more urgent than the other. */
  public boolean above(Priority other) {
    return rank < other.rank;
  }
}
