package org.mulleinshift.protocol;

import java.time.Duration;

/**
 * A machine as the cloud lists it. The list lags behind the actual state of the machines.
 *
 * @param address address of its worker; may be empty while the machine boots
 * @param age time since the machine was requested, at the time that the list describes
 */
public record CloudMachine(
    MachineId id,
    String address,
    MachineTypeId type,
    ZoneId zone,
    boolean spot,
    Phase phase,
    Duration age) {
  /** The phase of a machine according to the cloud. */
  public enum Phase {
    /** Requested, but not up yet. */
    BOOTING,
    /** Up. */
    RUNNING,
    /** Stopped without a deletion request; remains listed until it is deleted. */
    FAILED
  }
}
