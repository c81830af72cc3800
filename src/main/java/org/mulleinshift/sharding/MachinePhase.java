package org.mulleinshift.sharding;

/** What an owner knows about the tasks on a machine of its shard. */
public enum MachinePhase {
  /** No heartbeat has been received under this grant. */
  UNSEEN("UNSEEN"),
  /** It sends heartbeats, but has not yet acknowledged the owner's token. */
  REPORTING("HEARD"),
  /** It has acknowledged the owner's token, so its heartbeats list every task on it. */
  CONFIRMED("CONFIRMED"),
  /** Its worker's lease has certainly expired, so no task runs on it. */
  EXPIRED("SILENT");

  private final String wireName;

  MachinePhase(String wireName) {
    this.wireName = wireName;
  }

  /** The name of the phase in peer frames. */
  public String wireName() {
    return wireName;
  }
}
