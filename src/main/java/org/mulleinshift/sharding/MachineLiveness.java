package org.mulleinshift.sharding;

/** Whether a machine is alive, as its owner reports it to the leader. */
public enum MachineLiveness {
  /** It sends heartbeats and receives the responses. */
  ALIVE("HEARD"),
  /** Heartbeats are missing, or it may not receive responses; it is given no new tasks. */
  SUSPECTED("QUIET"),
  /**
   * No heartbeat arrived for longer than its lease, or it has not acknowledged a token for longer
   * than two leases.
   */
  LOST("GONE");

  private final String wireName;

  MachineLiveness(String wireName) {
    this.wireName = wireName;
  }

  /** The name of the liveness in peer frames. */
  public String wireName() {
    return wireName;
  }
}
