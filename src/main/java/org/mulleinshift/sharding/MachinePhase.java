package org.mulleinshift.sharding;

/** How an owner stands with a machine of its shard. */
public enum MachinePhase {
  /** No report under this grant yet. */
  UNSEEN("UNSEEN"),
  /** It reports, but has not yet shown that it knows the token. */
  REPORTING("HEARD"),
  /** It knows the token: what it reports is all that is on it. */
  CONFIRMED("CONFIRMED"),
  /** Its worker lease is surely over: nothing runs on it. */
  SILENT("SILENT");

  private final String wireName;

  MachinePhase(String wireName) {
    this.wireName = wireName;
  }

  /** How peer frames name it. */
  public String wireName() {
    return wireName;
  }
}
