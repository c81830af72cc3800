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

/** Selects the cheapest of the cloud's offers, except those that were refused recently. */
final class OfferSelector {
  /** Maximum number of unanswered requests for one offer. */
  private static final int MAX_OUTSTANDING_REQUESTS = 8;

  /**
   * Longest backoff as a multiple of the initial one: capacity that comes back is found within that
   * time.
   */
  private static final int MAX_BACKOFF_FACTOR = 3;

  /**
   * Share by which each machine in a zone raises the cost of the zone's offers, to balance the
   * zones.
   */
  private static final double ZONE_BALANCE_WEIGHT = 0.001;

  /** Cost factor of a machine that a task hardly uses; a machine that a task fills has factor 1. */
  private static final double MAX_OVERSIZE_FACTOR = 2;

  private final EventLoop loop;
  private final MachineTypeCatalog catalog;
  private final ShardTable shards;
  private final Duration initialBackoff;
  private final ToIntFunction<Offer> outstanding;
  private final Map<Offer, RefusalBackoff> backoffs = new HashMap<>();

  /**
   * Number of consecutive refusals, up to {@link #MAX_BACKOFF_FACTOR}, and when the backoff ends.
   */
  private record RefusalBackoff(int count, MonotonicTime until) {}

  /**
   * Creates the selector of one term.
   *
   * @param initialBackoff backoff after a first refusal; it grows with further ones
   * @param outstanding returns the number of machines of an offer that are requested and not
   *     answered
   */
  OfferSelector(
      EventLoop loop,
      MachineTypeCatalog catalog,
      ShardTable shards,
      Duration initialBackoff,
      ToIntFunction<Offer> outstanding) {
    this.loop = loop;
    this.catalog = catalog;
    this.shards = shards;
    this.initialBackoff = initialBackoff;
    this.outstanding = outstanding;
  }

  /**
   * Handles an offer of which the cloud had no machines, or too few. It is requested again after a
   * backoff, which grows with consecutive total refusals.
   */
  void onRefused(Offer offer, Refusal refusal) {
    RefusalBackoff previous = backoffs.get(offer);
    if (previous != null && previous.until.isAfter(loop.now())) {
      // This request was made before the backoff began: its refusal says nothing new.
      return;
    }
    boolean resetsBackoff = previous == null || refusal == Refusal.PARTIAL;
    int count = resetsBackoff ? 1 : Math.min(MAX_BACKOFF_FACTOR, previous.count + 1);
    backoffs.put(
        offer, new RefusalBackoff(count, loop.now().plus(initialBackoff.multipliedBy(count))));
  }

  /** Ends the backoff of an offer: the cloud provisioned all machines that were requested. */
  void onFulfilled(Offer offer) {
    backoffs.remove(offer);
  }

  /**
   * Returns whether so many machines of the offer are requested that the answers should be awaited
   * first. An offer that was refused is tried with a single request. Without this limit, a queue
   * far larger than the available capacity would become hundreds of stored request names, each to
   * be written, requested, refused and removed.
   *
   * @param planned machines that are to be requested in this run
   */
  boolean isSaturated(Offer offer, Map<Offer, Integer> planned) {
    int maxRequests = backoffs.containsKey(offer) ? 1 : MAX_OUTSTANDING_REQUESTS;
    int machines = planned.getOrDefault(offer, 0) + outstanding.applyAsInt(offer);
    return machines >= maxRequests * CloudCodec.MAX_MACHINES_PER_REQUEST;
  }

  /**
   * Returns the available offer with the lowest cost per task, considering the tasks of the group
   * that would use one new machine. Empty if no offer is available.
   *
   * @param planned machines that are to be requested in this run
   */
  Optional<Offer> bestOffer(PendingGroup group, Map<Offer, Integer> planned) {
    ResourceRequest request = group.request();
    Map<ZoneId, Integer> machinesByZone = machinesByZone(planned);
    Offer best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : catalog.types().values()) {
      int fitting = Math.min(group.count(), request.perTask().countFittingInto(type.size()));
      if (fitting == 0) {
        continue;
      }
      for (Offer offer : offersOf(type)) {
        if (isEligible(offer, group, planned)) {
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

  private boolean isEligible(Offer offer, PendingGroup group, Map<Offer, Integer> planned) {
    ResourceRequest request = group.request();
    boolean allowed =
        (offer.spot() || !group.spotOnly())
            && request.allows(offer.type(), offer.spot())
            && request.allowsZone(offer.zone());
    return allowed
        && isAvailable(offer)
        && !(backoffs.containsKey(offer) && isSaturated(offer, planned));
  }

  /**
   * Returns the cost per task. Large machines are kept for large tasks unless they cost far less.
   */
  private static double cost(
      ResourceRequest request, MachineType type, Offer offer, int fitting, int machinesInZone) {
    double oversize = MAX_OVERSIZE_FACTOR - request.perTask().dominantShareOf(type.size());
    return type.price(offer.spot())
        / fitting
        * oversize
        * (1 + ZONE_BALANCE_WEIGHT * machinesInZone);
  }

  /** Returns whether any offer is available whose machines such a task fits and may run on. */
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
    RefusalBackoff previous = backoffs.get(offer);
    return previous == null || !previous.until.isAfter(loop.now());
  }

  private Map<ZoneId, Integer> machinesByZone(Map<Offer, Integer> planned) {
    Map<ZoneId, Integer> counts = new HashMap<>();
    shards
        .all()
        .forEach(shard -> counts.merge(shard.zone(), shard.machines().size(), Integer::sum));
    planned.forEach((offer, count) -> counts.merge(offer.zone(), count, Integer::sum));
    return counts;
  }
}
