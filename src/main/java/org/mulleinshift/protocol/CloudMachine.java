package org.mulleinshift.protocol;

import java.time.Duration;

/** A machine in the cloud's list. */
public record CloudMachine(
    MachineId id,
    String address,
    MachineTypeId type,
    ZoneId zone,
    boolean spot,
    Phase phase,
    Duration age) {
  public enum Phase {
    BOOTING,
    RUNNING,
    FAILED
  }
}
