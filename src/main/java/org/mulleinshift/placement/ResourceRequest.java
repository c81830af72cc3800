package org.mulleinshift.placement;

import java.util.List;
import java.util.Optional;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.protocol.peer.AssignedJob;

/**
 * What a task requires of a machine.
 *
 * @param perTask the resources that one task takes
 * @param image the image that the task runs from
 * @param imageGb size of the image
 * @param types machine types that the task may run on; empty: all
 * @param zone the only zone that the task may run in; empty: any
 * @param spotAllowed whether the task may run on a spot machine
 */
public record ResourceRequest(
    Resources perTask,
    String image,
    double imageGb,
    List<MachineTypeId> types,
    Optional<ZoneId> zone,
    boolean spotAllowed) {
  /** The request of each task of a submitted job. */
  public static ResourceRequest of(JobSpec spec) {
    return new ResourceRequest(
        spec.perTask(),
        spec.image(),
        spec.imageGb(),
        spec.machineTypes().orElse(List.of()),
        spec.zone(),
        spec.spotAllowed());
  }

  /** The request of each task of an assigned job; any zone, since the leader has chosen zones. */
  public static ResourceRequest of(AssignedJob job) {
    return new ResourceRequest(
        new Resources(job.getCpus(), job.getGpus(), job.getMemoryGb()),
        job.getImage(),
        job.getImageGb(),
        job.getMachineTypes().stream().map(MachineTypeId::new).toList(),
        Optional.empty(),
        job.getSpotAllowed());
  }

  /**
   * The same request, restricted to those of the candidate types that it allows. If it allows none
   * of them, the result has an empty list of types, which would allow all types: callers must not
   * use it.
   */
  public ResourceRequest restrictedTo(List<MachineTypeId> candidates) {
    List<MachineTypeId> allowed = candidates.stream().filter(this::allowsType).toList();
    return new ResourceRequest(perTask, image, imageGb, allowed, zone, spotAllowed);
  }

  /** Whether a task fits an empty machine of the type and may run on that type. */
  public boolean fits(MachineType type) {
    return perTask.fitsInto(type.size()) && allowsType(type.id());
  }

  /**
   * Whether this request is allowed on every machine that the other is allowed on. Lists of types
   * are only compared for equality, so false does not rule it out.
   */
  boolean isNoStricterThan(ResourceRequest other) {
    return (types.isEmpty() || types.equals(other.types))
        && (zone.isEmpty() || zone.equals(other.zone))
        && (spotAllowed || !other.spotAllowed);
  }

  boolean allowsType(MachineTypeId type) {
    return types.isEmpty() || types.contains(type);
  }

  /** Whether a task may run in the zone. */
  public boolean allowsZone(ZoneId candidate) {
    return zone.isEmpty() || zone.get().equals(candidate);
  }

  /** Whether a task may run on a machine of the type, regardless of the machine's size. */
  public boolean allows(MachineTypeId type, boolean spot) {
    return allowsType(type) && (spotAllowed || !spot);
  }
}
