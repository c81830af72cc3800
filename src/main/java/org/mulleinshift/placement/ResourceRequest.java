package org.mulleinshift.placement;

import java.util.List;
import java.util.Optional;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.protocol.peer.AssignedJob;

/** What a task asks of a machine. An empty list of types allows all. */
public record ResourceRequest(
    Resources perTask,
    String image,
    double imageGb,
    List<MachineTypeId> types,
    Optional<ZoneId> zone,
    boolean spotAllowed) {
  public static ResourceRequest of(JobSpec spec) {
    return new ResourceRequest(
        spec.perTask(),
        spec.image(),
        spec.imageGb(),
        spec.machineTypes().orElse(List.of()),
        spec.zone(),
        spec.spotAllowed());
  }

  /** What a assigned job's tasks ask, as the leader told it; zones were decided there. */
  public static ResourceRequest of(AssignedJob job) {
    return new ResourceRequest(
        new Resources(job.getCpus(), job.getGpus(), job.getMemoryGb()),
        job.getImage(),
        job.getImageGb(),
        job.getMachineTypes().stream().map(MachineTypeId::new).toList(),
        Optional.empty(),
        job.getSpotAllowed());
  }

  /** The same on some types only; none are left if it allows none of them. */
  public ResourceRequest restrictedTo(List<MachineTypeId> some) {
    List<MachineTypeId> left = some.stream().filter(this::allowsType).toList();
    return new ResourceRequest(perTask, image, imageGb, left, zone, spotAllowed);
  }

  /** A task fits an empty machine of the type, and may be on it. */
  public boolean fits(MachineType type) {
    return perTask.fitsInto(type.size()) && allowsType(type.id());
  }

  /** Every machine that the other may be on, this may be on. */
  boolean isNoStricterThan(ResourceRequest other) {
    return (types.isEmpty() || types.equals(other.types))
        && (zone.isEmpty() || zone.equals(other.zone))
        && (spotAllowed || !other.spotAllowed);
  }

  boolean allowsType(MachineTypeId type) {
    return types.isEmpty() || types.contains(type);
  }

  public boolean allowsZone(ZoneId candidate) {
    return zone.isEmpty() || zone.get().equals(candidate);
  }

  public boolean allows(MachineTypeId type, boolean spot) {
    return allowsType(type) && (spotAllowed || !spot);
  }
}
