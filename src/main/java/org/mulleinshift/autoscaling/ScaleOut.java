package org.mulleinshift.autoscaling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.placement.BinPacker;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.placement.UnschedulableRequests;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/** Provisions machines for a shortage. Resizes are normally one boot time apart. */
final class ScaleOut {
  private final EventLoop loop;
  private final MachineTypeCatalog catalog;
  private final OfferSelector offers;
  private final Provisioner provisioner;
  private final BootMonitor boots;
  private final double immediateResizeShare;
  private Optional<MonotonicTime> lastResize = Optional.empty();

  /**
   * Creates the scale-out of one term.
   *
   * @param immediateResizeShare a shortage of more than this share of the cluster's processors is
   *     provisioned at once
   */
  ScaleOut(
      EventLoop loop,
      MachineTypeCatalog catalog,
      OfferSelector offers,
      Provisioner provisioner,
      BootMonitor boots,
      double immediateResizeShare) {
    this.loop = loop;
    this.catalog = catalog;
    this.offers = offers;
    this.provisioner = provisioner;
    this.boots = boots;
    this.immediateResizeShare = immediateResizeShare;
  }

  /**
   * Returns whether the shortage may be provisioned now. Resizes are one boot time apart. Deviation
   * from the paper: a shortage that is large compared to the cluster is provisioned at once, since
   * it cannot be an error of the simulation, and each boot time counts when the cluster starts or
   * in a burst.
   */
  boolean isAllowed(CapacityPlanner.Plan plan, double horizonSeconds) {
    boolean large = plan.shortageCpus() > immediateResizeShare * plan.clusterCpus();
    return large
        || lastResize.isEmpty()
        || loop.now().secondsSince(lastResize.get()) >= horizonSeconds;
  }

  /**
   * Lets the next run resize at once: refused capacity will not come, and other offers may be
   * available.
   */
  void onRefused() {
    lastResize = Optional.empty();
  }

  /** Provisions the machines needed by the tasks of the shortage, except those of delayed types. */
  void provision(List<PendingGroup> shortage) {
    Map<Offer, Integer> planned = pack(shortage);
    planned.keySet().removeIf(offer -> boots.isDelayed(offer.type()));
    planned.forEach(provisioner::provision);
    if (!planned.isEmpty()) {
      lastResize = Optional.of(loop.now());
    }
  }

  private Map<Offer, Integer> pack(List<PendingGroup> shortage) {
    Map<Offer, Integer> planned = new LinkedHashMap<>();
    // Only machines with capacity left for some group are kept, since a long queue needs many.
    List<MachineCapacity> openMachines = new ArrayList<>();
    Resources minimumRequest = UnschedulableRequests.minimumOf(shortage, PendingGroup::request);
    for (PendingGroup group : shortage) {
      pack(group, openMachines, planned);
      openMachines.removeIf(capacity -> !minimumRequest.fitsInto(capacity.available()));
    }
    return planned;
  }

  private void pack(
      PendingGroup group, List<MachineCapacity> openMachines, Map<Offer, Integer> planned) {
    int remaining =
        group.count() - BinPacker.placeTasks(group.request(), group.count(), openMachines);
    while (remaining > 0) {
      Optional<Offer> offer = offers.bestOffer(group.withCount(remaining), planned);
      if (offer.isEmpty() || offers.isSaturated(offer.get(), planned)) {
        // The next run continues once the cloud has answered.
        return;
      }
      int number = planned.merge(offer.get(), 1, Integer::sum);
      MachineCapacity capacity = newMachineCapacity(offer.get(), number);
      remaining -= BinPacker.placeTasks(group.request(), remaining, List.of(capacity));
      openMachines.add(capacity);
    }
  }

  private MachineCapacity newMachineCapacity(Offer offer, int number) {
    MachineType type = catalog.type(offer.type()).orElseThrow();
    return new MachineCapacity(
        new MachineId("new-" + number),
        MachineCapacity.NO_SHARD,
        offer.zone(),
        type,
        offer.spot(),
        type.size(),
        Set.of());
  }
}
