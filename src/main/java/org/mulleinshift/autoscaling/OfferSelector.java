package org.mulleinshift.autoscaling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.protocol.CloudCodec;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.sharding.ShardTable;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/** Selects the cheapest of the cloud's offers that were not refused recently. */
final class OfferSelector {
  /** So many requests for an offer wait for their answers at a time. */
  private static final int MAX_REQUESTS = 8;

  /** The longest backoff, in first ones: capacity that comes back is found within that. */
  private static final int MAX_BACKOFF_FACTOR = 3;

  /** Each machine in a zone makes the zone's offers look more expensive by this share. */
  private static final double ZONE_BALANCE_WEIGHT = 0.001;

  /** A machine that a task fills costs its price; one that it hardly uses counts this often. */
  private static final double MAX_OVERSIZE_FACTOR = 2;

  private final EventLoop loop;
  private final MachineTypeCatalog catalog;
  private final ShardTable shards;
  private final Duration backoff;
  private final ToIntFunction<Offer> outstanding;
  private final Map<Offer, Refusals> refusals = new HashMap<>();

  /** How often in a row the cloud had none of an offer, and until when it is not requested. */
  private record Refusals(int count, MonotonicTime until) {}

  /**
   * A selector for one term.
   *
   * @param backoff after a first refusal; later ones wait longer
   * @param outstanding machines of an offer that are requested and not answered
   */
  OfferSelector(
      EventLoop loop,
      MachineTypeCatalog catalog,
      ShardTable shards,
      Duration backoff,
      ToIntFunction<Offer> outstanding) {
    this.loop = loop;
    this.catalog = catalog;
    this.shards = shards;
    this.backoff = backoff;
    this.outstanding = outstanding;
  }

  /** The cloud had none of these, or too few: they are requested again after a growing backoff. */
  void onRefused(Offer offer, Refusal refusal) {
    Refusals known = refusals.get(offer);
    if (known != null && known.until.isAfter(loop.now())) {
      // Requested together with what was refused before: no further news.
      return;
    }
    boolean first = known == null || refusal == Refusal.PARTIAL;
    int count = first ? 1 : Math.min(MAX_BACKOFF_FACTOR, known.count + 1);
    refusals.put(offer, new Refusals(count, loop.now().plus(backoff.multipliedBy(count))));
  }

  /** The cloud provisioned all that was requested. */
  void onFulfilled(Offer offer) {
    refusals.remove(offer);
  }

  /**
   * Whether so many machines of the offer are requested that its answers are worth waiting for. One
   * that was refused is tried with a single request. Unbounded, a queue far above what is to be had
   * would become hundreds of stored names, each to be written, requested, refused and removed.
   *
   * @param wanted machines that are to be requested in this run
   */
  boolean isSaturated(Offer offer, Map<Offer, Integer> wanted) {
    int maxRequests = refusals.containsKey(offer) ? 1 : MAX_REQUESTS;
    int machines = wanted.getOrDefault(offer, 0) + outstanding.applyAsInt(offer);
    return machines >= maxRequests * CloudCodec.MAX_MACHINES_PER_REQUEST;
  }

  /**
   * The cheapest available way to run those tasks of the group that would use one new machine.
   *
   * @param wanted machines that are to be requested in this run
   */
  Optional<Offer> bestOffer(PendingGroup group, Map<Offer, Integer> wanted) {
    ResourceRequest request = group.request();
    Map<ZoneId, Integer> machinesByZone = machinesByZone(wanted);
    Offer best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : catalog.types().values()) {
      int fitting = Math.min(group.count(), request.perTask().countFittingInto(type.size()));
      if (fitting == 0) {
        continue;
      }
      for (Offer offer : offersOf(type)) {
        if (isEligible(offer, group, wanted)) {
          int machinesInZone = machinesByZone.getOrDefault(offer.zone(), 0);
          double cost = cost(request, type, offer, fitting, machinesInZone);
          if (cost < bestCost) {
            best = offer;
            bestCost = cost;
          }
        }
      }
    }
    return Optional.ofNullable(best);
  }

  private static List<Offer> offersOf(MachineType type) {
    List<Offer> offers = new ArrayList<>();
    for (ZoneId zone : type.zones()) {
      offers.add(new Offer(type.id(), zone, true));
      offers.add(new Offer(type.id(), zone, false));
    }
    return offers;
  }

  private boolean isEligible(Offer offer, PendingGroup group, Map<Offer, Integer> wanted) {
    ResourceRequest request = group.request();
    boolean allowed =
        (offer.spot() || !group.spotOnly())
            && request.allows(offer.type(), offer.spot())
            && request.allowsZone(offer.zone());
    return allowed
        && isAvailable(offer)
        && !(refusals.containsKey(offer) && isSaturated(offer, wanted));
  }

  /** Cost of one task. Large machines are kept for large tasks unless they cost far less. */
  private static double cost(
      ResourceRequest request, MachineType type, Offer offer, int fitting, int machinesInZone) {
    double oversize = MAX_OVERSIZE_FACTOR - request.perTask().dominantShareOf(type.size());
    return type.price(offer.spot())
        / fitting
        * oversize
        * (1 + ZONE_BALANCE_WEIGHT * machinesInZone);
  }

  /** Whether any machine that such a task fits and may run on is available. */
  boolean hasOfferFor(ResourceRequest request) {
    for (MachineType type : catalog.types().values()) {
      if (request.fits(type)
          && offersOf(type).stream().anyMatch(offer -> isAvailableFor(request, offer))) {
        return true;
      }
    }
    return false;
  }

  private boolean isAvailableFor(ResourceRequest request, Offer offer) {
    return request.allowsZone(offer.zone())
        && (request.spotAllowed() || !offer.spot())
        && isAvailable(offer);
  }

  private boolean isAvailable(Offer offer) {
    Refusals known = refusals.get(offer);
    return known == null || !known.until.isAfter(loop.now());
  }

  private Map<ZoneId, Integer> machinesByZone(Map<Offer, Integer> wanted) {
    Map<ZoneId, Integer> counts = new HashMap<>();
    shards
        .all()
        .forEach(shard -> counts.merge(shard.zone(), shard.machines().size(), Integer::sum));
    wanted.forEach((offer, count) -> counts.merge(offer.zone(), count, Integer::sum));
    return counts;
  }
}
