package org.mulleinshift.protocol;

/** The phase of a job as its user sees it. */
public enum JobPhase {
  PENDING("pending"),
  RUNNING("running"),
  DONE("done"),
  CANCELLED("cancelled");

  private final String wire;

  JobPhase(String wire) {
    this.wire = wire;
  }

  /** The name of this phase in responses and in stored records. */
  public String wire() {
    return wire;
  }

  /** Whether a job stays in this phase for ever. */
  public boolean terminal() {
    return this == DONE || this == CANCELLED;
  }
}
