package org.mulleinshift.protocol;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/** A job as its user submitted it. */
public record JobSpec(
    JobId id,
    String jobClass,
    TeamId team,
    JobKind kind,
    Priority priority,
    int tasks,
    Resources perTask,
    String image,
    double imageGb,
    Optional<List<MachineTypeId>> machineTypes,
    Optional<ZoneId> zone,
    boolean oneZone,
    boolean spread,
    boolean spotAllowed,
    double estimateSeconds,
    double checkpointSeconds,
    double saveSeconds,
    OptionalDouble deadlineSeconds) {

  public boolean allowsType(MachineTypeId type) {
    return machineTypes.isEmpty() || machineTypes.get().contains(type);
  }

  public boolean allowsZone(ZoneId candidate) {
    return zone.isEmpty() || zone.get().equals(candidate);
  }
}
