package org.mulleinshift.coordination;

import java.util.List;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Resources;

/** What a task asks of a machine. An empty list of types allows all. */
record PlacementNeed(
    Resources perTask, String image, List<MachineTypeId> types, boolean spotAllowed) {
  static PlacementNeed of(JobSpec spec) {
    return new PlacementNeed(
        spec.perTask(), spec.image(), spec.machineTypes().orElse(List.of()), spec.spotAllowed());
  }

  boolean allows(MachineTypeId type, boolean spot) {
    return (types.isEmpty() || types.contains(type)) && (spotAllowed || !spot);
  }
}
