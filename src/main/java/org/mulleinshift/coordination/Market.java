package org.mulleinshift.coordination;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.protocol.BlockId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.SteadyTime;

/** What the cloud offers, as far as it was not refused lately, and which offer is the cheapest. */
final class Market {
  /** A kind of machine in a zone, which the cloud may run out of. */
  record Offer(MachineTypeId type, ZoneId zone, boolean spot) {}

  private final EventLoop loop;
  private final Catalog catalog;
  private final Map<BlockId, LeaderBlock> blocks;
  private final Duration pause;
  private final Map<Offer, SteadyTime> refusedUntil = new HashMap<>();

  Market(EventLoop loop, Catalog catalog, Map<BlockId, LeaderBlock> blocks, Duration pause) {
    this.loop = loop;
    this.catalog = catalog;
    this.blocks = blocks;
    this.pause = pause;
  }

  /** The cloud had none of these, or too few. */
  void refused(Offer offer) {
    refusedUntil.put(offer, loop.now().plus(pause));
  }

  /** The cheapest way to run the tasks that would use a new machine, among what is to be had. */
  Optional<Offer> bestOffer(
      PlacementNeed need, int count, boolean spotOnly, Map<Offer, Integer> wanted) {
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
              || !available(offer)) {
            continue;
          }
          // Large machines are kept for the tasks that need them unless they cost far less.
          double oversize = 2 - need.perTask().shareOf(type.size());
          double cost = type.price(spot) / fit * oversize * (1 + 0.001 * machinesIn(zone, wanted));
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
  boolean offers(PlacementNeed need) {
    return catalog.types().values().stream()
        .filter(need::mayUse)
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
    SteadyTime until = refusedUntil.get(offer);
    return until == null || !until.isAfter(loop.now());
  }

  private int machinesIn(ZoneId zone, Map<Offer, Integer> wanted) {
    int count = 0;
    for (LeaderBlock block : blocks.values()) {
      count += block.zone().equals(zone) ? block.machines().size() : 0;
    }
    for (Map.Entry<Offer, Integer> entry : wanted.entrySet()) {
      count += entry.getKey().zone().equals(zone) ? entry.getValue() : 0;
    }
    return count;
  }
}
