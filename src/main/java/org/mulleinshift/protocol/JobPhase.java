package org.mulleinshift.protocol;

/** What a user is told of a job. */
public enum JobPhase {
  PENDING("pending"),
  RUNNING("running"),
  DONE("done"),
  CANCELLED("cancelled");

  private final String wire;

  JobPhase(String wire) {
    this.wire = wire;
  }

  public String wire() {
    return wire;
  }

  public boolean terminal() {
    return this == DONE || this == CANCELLED;
  }
}
