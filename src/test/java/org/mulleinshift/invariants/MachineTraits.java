package org.mulleinshift.invariants;

/** The properties of a machine that a job's constraints can name. */
public record MachineTraits(String name, String type, String zone, boolean spot) {
  /**
   * Whether the machine has the zone and type that the job requires and is not an excluded spot
   * machine.
   */
  public boolean matches(ObservedJob job) {
    return job.text("zone", zone).equals(zone)
        && (!spot || job.flag("spot", true))
        && job.text("type", type).equals(type);
  }
}
