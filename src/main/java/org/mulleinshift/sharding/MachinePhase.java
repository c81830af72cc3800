package org.mulleinshift.sharding;

/** What an owner knows of a machine of its shard. */
public enum MachinePhase {
  /** No heartbeat under this grant yet. */
  UNSEEN("UNSEEN"),
  /** It reports, but has not yet shown that it has received the token. */
  REPORTING("HEARD"),
  /** It has received the token: what it reports is all that is on it. */
  CONFIRMED("CONFIRMED"),
  /** Its worker lease has certainly expired: nothing runs on it. */
  EXPIRED("SILENT");

  private final String wireName;

  MachinePhase(String wireName) {
    this.wireName = wireName;
  }

  /** How peer frames name it. */
  public String wireName() {
    return wireName;
  }
}
