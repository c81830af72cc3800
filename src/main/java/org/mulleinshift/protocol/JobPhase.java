package org.mulleinshift.protocol;

/** The phase of a job as its user sees it. */
public enum JobPhase {
  PENDING("pending"),
  RUNNING("running"),
  DONE("done"),
  CANCELLED("cancelled");

  private final String wireName;

  JobPhase(String wire) {
    this.wireName = wire;
  }

  /** The name of this phase in responses and in stored records. */
  public String wireName() {
    return wireName;
  }

  /** Whether a job stays in this phase for ever. */
  public boolean isTerminal() {
    return this == DONE || this == CANCELLED;
  }
}
