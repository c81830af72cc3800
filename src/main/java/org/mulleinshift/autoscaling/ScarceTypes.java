package org.mulleinshift.autoscaling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;

/**
 * Finds machine types that the cloud has run out of, and restricts tasks to other types where
 * possible.
 */
final class ScarceTypes {
  private final MachineTypeCatalog catalog;
  private final OfferSelector offers;

  ScarceTypes(MachineTypeCatalog catalog, OfferSelector offers) {
    this.catalog = catalog;
    this.offers = offers;
  }

  /** Returns the types that fit those tasks of the shortage for which no offer is available. */
  Set<MachineTypeId> findIn(List<PendingGroup> shortage) {
    Set<MachineTypeId> scarce = new HashSet<>();
    for (PendingGroup group : shortage) {
      if (!offers.hasOfferFor(group.request())) {
        for (MachineType type : catalog.types().values()) {
          if (group.request().fits(type)) {
            scarce.add(type.id());
          }
        }
      }
    }
    return scarce;
  }

  /**
   * Returns the same tasks, restricted to types that are not scarce where such machines are on
   * offer.
   */
  List<PendingGroup> restrictToOtherTypes(Set<MachineTypeId> scarce, List<PendingGroup> waiting) {
    List<MachineTypeId> others =
        catalog.types().keySet().stream().filter(id -> !scarce.contains(id)).toList();
    List<PendingGroup> groups = new ArrayList<>();
    for (PendingGroup group : waiting) {
      ResourceRequest restricted = group.request().restrictedTo(others);
      boolean canMove = !restricted.types().isEmpty() && offers.hasOfferFor(restricted);
      groups.add(canMove ? group.withRequest(restricted) : group);
    }
    return groups;
  }
}
