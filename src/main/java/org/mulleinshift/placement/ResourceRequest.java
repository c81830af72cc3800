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
 * What a task requests of a machine.
 *
 * @param perTask what one task takes
 * @param image the image that the task runs from
 * @param imageGb size of the image
 * @param types machine types that the task may be on; empty: all
 * @param zone the only zone that the task may be in, if it is restricted to one
 * @param spotAllowed whether the task may be on a spot machine
 */
public record ResourceRequest(
    Resources perTask,
    String image,
    double imageGb,
    List<MachineTypeId> types,
    Optional<ZoneId> zone,
    boolean spotAllowed) {
  /** What each task of a job requests. */
  public static ResourceRequest of(JobSpec spec) {
    return new ResourceRequest(
        spec.perTask(),
        spec.image(),
        spec.imageGb(),
        spec.machineTypes().orElse(List.of()),
        spec.zone(),
        spec.spotAllowed());
  }

  /** What each task of an assigned job requests; the leader has decided on the zones. */
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
   * The same request, on those of some types that it allows. If it allows none of them, the list of
   * types is empty and would allow all: callers must not use such a request.
   */
  public ResourceRequest restrictedTo(List<MachineTypeId> candidates) {
    List<MachineTypeId> allowed = candidates.stream().filter(this::allowsType).toList();
    return new ResourceRequest(perTask, image, imageGb, allowed, zone, spotAllowed);
  }

  /** Whether a task fits an empty machine of the type, and may be on it. */
  public boolean fits(MachineType type) {
    return perTask.fitsInto(type.size()) && allowsType(type.id());
  }

  /** Whether this may be on every machine that the other may be on. */
  boolean isNoStricterThan(ResourceRequest other) {
    return (types.isEmpty() || types.equals(other.types))
        && (zone.isEmpty() || zone.equals(other.zone))
        && (spotAllowed || !other.spotAllowed);
  }

  boolean allowsType(MachineTypeId type) {
    return types.isEmpty() || types.contains(type);
  }

  /** Whether a task may be in the zone. */
  public boolean allowsZone(ZoneId candidate) {
    return zone.isEmpty() || zone.get().equals(candidate);
  }

  /** Whether a task may be on such a machine, whatever its size. */
  public boolean allows(MachineTypeId type, boolean spot) {
    return allowsType(type) && (spotAllowed || !spot);
  }
}
