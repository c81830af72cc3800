package org.mulleinshift.protocol;

/** How urgent a job is, the most urgent first. */
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

  public String wire() {
    return wire;
  }

  /** Its place in the order of priorities; 0 is the most urgent. */
  public int rank() {
    return rank;
  }

  public boolean above(Priority other) {
    return rank < other.rank;
  }
}
