package org.mulleinshift.sharding;

/** For how long a machine has not been heard, as far as it matters to the leader. */
public enum MachineLiveness {
  /** It reports, and receives the answers. */
  ALIVE("HEARD"),
  /** Heartbeats are missing, or it may not receive answers: it takes nothing new. */
  SUSPECTED("QUIET"),
  /** Not heard for longer than its lease. */
  LOST("GONE");

  private final String wireName;

  MachineLiveness(String wireName) {
    this.wireName = wireName;
  }

  /** How peer frames name it. */
  public String wireName() {
    return wireName;
  }
}
