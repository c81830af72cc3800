package org.mulleinshift.autoscaling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Probes delayed machine types to find out whether they come up again. While no machine of a type
 * comes up, its booting machines count as capacity, and only a few more are provisioned, once per
 * boot time: more would be paid for in vain.
 */
final class BootProbe {
  /** A probe provisions one machine, plus one for each this many delayed machines of the type. */
  private static final int DELAYED_BOOTS_PER_EXTRA_MACHINE = 10;

  private final EventLoop loop;
  private final OfferSelector offers;
  private final Provisioner provisioner;
  private final BootMonitor boots;
  private final Map<MachineTypeId, Probe> latestProbes = new HashMap<>();

  /** The offer that was requested as a probe, and when. */
  private record Probe(Offer offer, MonotonicTime startedAt) {}

  BootProbe(EventLoop loop, OfferSelector offers, Provisioner provisioner, BootMonitor boots) {
    this.loop = loop;
    this.offers = offers;
    this.provisioner = provisioner;
    this.boots = boots;
  }

  /**
   * Provisions a few machines of each delayed type that some waiting task can use, at most once per
   * horizon.
   */
  void probe(List<PendingGroup> waiting, double horizonSeconds) {
    for (MachineTypeId type : boots.typesWithDelays()) {
      if (isDue(type, horizonSeconds)) {
        probeType(type, waiting);
      }
    }
  }

  private boolean isDue(MachineTypeId type, double horizonSeconds) {
    Probe lastProbe = latestProbes.get(type);
    return boots.isDelayed(type)
        && (lastProbe == null || loop.now().secondsSince(lastProbe.startedAt()) >= horizonSeconds);
  }

  /**
   * Handles an offer that the cloud refused. If it was the latest probe of its type, no machine
   * boots that could show whether the type comes up again, so the next probe is due at once, with
   * another offer.
   */
  void onRefused(Offer offer) {
    Probe lastProbe = latestProbes.get(offer.type());
    if (lastProbe != null && lastProbe.offer().equals(offer)) {
      latestProbes.remove(offer.type());
    }
  }

  private void probeType(MachineTypeId type, List<PendingGroup> waiting) {
    for (PendingGroup group : waiting) {
      Optional<Offer> offer = offerOf(type, group);
      if (offer.isPresent()) {
        latestProbes.put(type, new Probe(offer.get(), loop.now()));
        provisioner.provision(
            offer.get(), 1 + boots.delayedCount(type) / DELAYED_BOOTS_PER_EXTRA_MACHINE);
        return;
      }
    }
  }

  private Optional<Offer> offerOf(MachineTypeId type, PendingGroup group) {
    ResourceRequest restricted = group.request().restrictedTo(List.of(type));
    return restricted.types().isEmpty()
        ? Optional.empty()
        : offers.bestOffer(group.withRequest(restricted).withCount(1), Map.of());
  }
}
