package org.mulleinshift.protocol;

/** How urgent a job is, the most urgent first. */
public enum Priority {
  PRODUCTION("production"),
  HIGH("urgent"),
  NORMAL("standard"),
  LOW("idle");

  private final String wire;

  Priority(String wire) {
    this.wire = wire;
  }

  public String wire() {
    return wire;
  }

  public boolean above(Priority other) {
    return ordinal() < other.ordinal();
  }
}
