package org.mulleinshift.invariants;

/** What a job's constraints may ask of a machine. */
public record MachineTraits(String name, String type, String zone, boolean spot) {
  /** Whether the machine is of the zone, type and kind that the job asks for. */
  public boolean matches(ObservedJob job) {
    return job.text("zone", zone).equals(zone)
        && (!spot || job.flag("spot", true))
        && job.text("type", type).equals(type);
  }
}
