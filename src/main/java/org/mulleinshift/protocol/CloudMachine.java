package org.mulleinshift.protocol;

import java.time.Duration;

/**
 * A machine in the cloud's list, which lags behind what is the case.
 *
 * @param address of its worker; may be empty while it boots
 * @param age time since it was requested, as of the moment that the list describes
 */
public record CloudMachine(
    MachineId id,
    String address,
    MachineTypeId type,
    ZoneId zone,
    boolean spot,
    Phase phase,
    Duration age) {
  /** What the cloud knows of a machine. */
  public enum Phase {
    /** Not up yet. */
    BOOTING,
    /** Up. */
    RUNNING,
    /** Stopped by itself; stays listed until it is deleted. */
    FAILED
  }
}
