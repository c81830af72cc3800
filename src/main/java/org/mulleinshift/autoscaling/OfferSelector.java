package org.mulleinshift.autoscaling;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.mulleinshift.model.ProvisioningRequest;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.protocol.CloudCodec;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.sharding.ShardTable;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/** What the cloud offers, as far as it was not refused lately, and which offer is the cheapest. */
final class OfferSelector {
  /** So many requests for an offer wait for their answers at a time. */
  private static final int MAX_REQUESTS = 8;

  /** The longest pause, in first ones: room that comes back is found within that. */
  private static final int MAX_PAUSES = 3;

  /** A kind of machine in a zone, which the cloud may run out of. */
  record Offer(MachineTypeId type, ZoneId zone, boolean spot) {
    static Offer of(ProvisioningRequest request) {
      return new Offer(request.type(), request.zone(), request.spot());
    }
  }

  private final EventLoop loop;
  private final MachineTypeCatalog catalog;
  private final ShardTable shards;
  private final Duration pause;
  private final ToIntFunction<Offer> outstanding;
  private final Map<Offer, Refusals> refusals = new HashMap<>();

  /** How often in a row the cloud had none of an offer, and until when it is not asked again. */
  private record Refusals(int count, MonotonicTime until) {}

  /**
   * @param pause after a first refusal; later ones wait longer
   * @param asked machines of an offer that are asked for and not answered
   */
  OfferSelector(
      EventLoop loop,
      MachineTypeCatalog catalog,
      ShardTable shards,
      Duration pause,
      ToIntFunction<Offer> asked) {
    this.loop = loop;
    this.catalog = catalog;
    this.shards = shards;
    this.pause = pause;
    this.outstanding = asked;
  }

  /**
   * The cloud had none of these, or too few. What it keeps refusing is asked for at growing
   * distances.
   */
  void onRefused(Offer offer, boolean some) {
    Refusals known = refusals.get(offer);
    if (known != null && known.until.isAfter(loop.now())) {
      // Asked for together with what was refused before: no further news.
      return;
    }
    int count = known == null || some ? 1 : Math.min(MAX_PAUSES, known.count + 1);
    refusals.put(offer, new Refusals(count, loop.now().plus(pause.multipliedBy(count))));
  }

  /** The cloud gave all that was asked for. */
  void onFulfilled(Offer offer) {
    refusals.remove(offer);
  }

  /**
   * Whether so many machines of the offer are asked for that its answers are worth waiting for. One
   * that was refused is tried with a single request. Unbounded, a queue far above what is to be had
   * became hundreds of stored names, each to be written, asked, refused and removed.
   */
  boolean isSaturated(Offer offer, Map<Offer, Integer> wanted) {
    int most = (refusals.containsKey(offer) ? 1 : MAX_REQUESTS) * CloudCodec.MAX_PROVISIONED;
    return wanted.getOrDefault(offer, 0) + outstanding.applyAsInt(offer) >= most;
  }

  /** The cheapest way to run the tasks that would use a new machine, among what is to be had. */
  Optional<Offer> bestOffer(
      ResourceRequest need, int count, boolean spotOnly, Map<Offer, Integer> wanted) {
    Map<ZoneId, Integer> inZone = machinesByZone(wanted);
    Offer best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : catalog.types().values()) {
      int fit = Math.min(count, need.perTask().countIn(type.size()));
      if (fit == 0) {
        continue;
      }
      for (ZoneId zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          Offer offer = new Offer(type.id(), zone, spot);
          if ((spotOnly && !spot)
              || !need.allows(type.id(), spot)
              || !need.allowsZone(zone)
              || !available(offer)
              || (refusals.containsKey(offer) && isSaturated(offer, wanted))) {
            continue;
          }
          // Large machines are kept for the tasks that need them unless they cost far less.
          double oversize = 2 - need.perTask().shareOf(type.size());
          double cost =
              type.price(spot) / fit * oversize * (1 + 0.001 * inZone.getOrDefault(zone, 0));
          if (cost < bestCost) {
            best = offer;
            bestCost = cost;
          }
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /** Whether any machine that such a task fits and may be on is to be had. */
  boolean hasOfferFor(ResourceRequest need) {
    return catalog.types().values().stream()
        .filter(need::fits)
        .anyMatch(
            type ->
                type.zones().stream()
                    .filter(need::allowsZone)
                    .anyMatch(
                        zone ->
                            available(new Offer(type.id(), zone, false))
                                || (need.spotAllowed()
                                    && available(new Offer(type.id(), zone, true)))));
  }

  private boolean available(Offer offer) {
    Refusals known = refusals.get(offer);
    return known == null || !known.until.isAfter(loop.now());
  }

  private Map<ZoneId, Integer> machinesByZone(Map<Offer, Integer> wanted) {
    Map<ZoneId, Integer> counts = new HashMap<>();
    shards.all().forEach(b -> counts.merge(b.zone(), b.machines().size(), Integer::sum));
    wanted.forEach((offer, count) -> counts.merge(offer.zone(), count, Integer::sum));
    return counts;
  }
}
