package org.mulleinshift.protocol;

/** The phase of a job as reported to its user. */
public enum JobPhase {
  PENDING("pending"),
  RUNNING("running"),
  DONE("done"),
  CANCELLED("cancelled");

  private final String wireName;

  JobPhase(String wireName) {
    this.wireName = wireName;
  }

  /** The name of this phase in responses and in stored records. */
  public String wireName() {
    return wireName;
  }

  /** Whether a job never leaves this phase. */
  public boolean isTerminal() {
    return this == DONE || this == CANCELLED;
  }
}
