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

/** Provisions machines for a shortage, one boot time apart. */
final class ScaleOut {
  private final EventLoop loop;
  private final MachineTypeCatalog catalog;
  private final OfferSelector offers;
  private final Provisioner provisioner;
  private final BootMonitor boots;
  private final double immediateResizeShare;
  private Optional<MonotonicTime> lastResize = Optional.empty();

  /**
   * The scale-out of one term.
   *
   * @param immediateResizeShare a shortage above this share of the cluster is provisioned at once
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
   * Whether the shortage may be provisioned now. Resizes are a boot time apart. Exception to the
   * paper: a shortage that is large compared to the cluster cannot be an error of the simulation,
   * and at a start or in a burst each boot time counts.
   */
  boolean isAllowed(CapacityPlanner.Plan plan, double horizonSeconds) {
    boolean large = plan.shortageCpus() > immediateResizeShare * plan.clusterCpus();
    return large
        || lastResize.isEmpty()
        || loop.now().secondsSince(lastResize.get()) >= horizonSeconds;
  }

  /** Capacity that was refused will not come: the next run may look elsewhere at once. */
  void onRefused() {
    lastResize = Optional.empty();
  }

  /** Provisions the machines that the tasks of the shortage fit on. */
  void provision(List<PendingGroup> shortage) {
    Map<Offer, Integer> wanted = pack(shortage);
    wanted.keySet().removeIf(offer -> boots.isDelayed(offer.type()));
    wanted.forEach(provisioner::provision);
    if (!wanted.isEmpty()) {
      lastResize = Optional.of(loop.now());
    }
  }

  private Map<Offer, Integer> pack(List<PendingGroup> shortage) {
    Map<Offer, Integer> wanted = new LinkedHashMap<>();
    // Only machines with capacity left for some group: a long queue needs many machines.
    List<MachineCapacity> open = new ArrayList<>();
    Resources minimumRequest = UnschedulableRequests.minimumOf(shortage, PendingGroup::request);
    for (PendingGroup group : shortage) {
      pack(group, open, wanted);
      open.removeIf(capacity -> !minimumRequest.fitsInto(capacity.available()));
    }
    return wanted;
  }

  private void pack(PendingGroup group, List<MachineCapacity> open, Map<Offer, Integer> wanted) {
    int remaining = group.count() - BinPacker.placeTasks(group.request(), group.count(), open);
    while (remaining > 0) {
      Optional<Offer> offer = offers.bestOffer(group.withCount(remaining), wanted);
      if (offer.isEmpty() || offers.isSaturated(offer.get(), wanted)) {
        // The next run goes on from what the cloud answers.
        return;
      }
      int number = wanted.merge(offer.get(), 1, Integer::sum);
      MachineCapacity capacity = newMachineCapacity(offer.get(), number);
      remaining -= BinPacker.placeTasks(group.request(), remaining, List.of(capacity));
      open.add(capacity);
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
