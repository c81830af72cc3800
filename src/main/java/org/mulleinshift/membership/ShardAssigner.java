package org.mulleinshift.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Which controller is to hold which shard: shards without a grant go back to their last owner if it
 * is there again; those without a live owner go to the controller with the least to do, near ones
 * first; when loads have come apart, one shard at a time moves.
 */
public final class ShardAssigner {
  private static final double OTHER_ZONE = 8;
  private static final double PER_SHARD = 2;

  /** What the leader does besides, as a share of an even load. */
  private static final double LEADING = 0.25;

  private static final double MIN_LEADING = 6;
  private static final double MIN_DIFFERENCE = 16;
  private static final Duration SETTLED = Duration.ofSeconds(8);
  private static final Duration BETWEEN_MOVES = Duration.ofSeconds(4);

  /** How long a shard without a grant waits for its last owner. */
  private static final Duration RETURNS = Duration.ofMillis(1500);

  /** A shard and its next owner. */
  public record Move(AssignableShard shard, NodeId owner) {}

  private final NodeId self;
  private final Map<NodeId, ZoneId> zones;
  private final Map<NodeId, MonotonicTime> liveSince = new HashMap<>();
  private MonotonicTime movedAt;

  public ShardAssigner(NodeId self, Map<NodeId, ZoneId> zones, MonotonicTime now) {
    this.self = self;
    this.zones = zones;
    this.movedAt = now;
  }

  /**
   * The grants to make now. An owner that hears nothing counts as the last choice for its shard.
   *
   * @param live controllers that keep what they hold
   * @param takers those of them whose links can serve a shard that is new to them
   */
  public List<Move> moves(
      Collection<? extends AssignableShard> shards,
      List<NodeId> live,
      List<NodeId> takers,
      Duration deafAfter,
      MonotonicTime now) {
    liveSince.keySet().retainAll(takers);
    takers.forEach(node -> liveSince.putIfAbsent(node, now));
    Map<NodeId, Double> loads = loads(shards, takers);
    List<Move> moves = new ArrayList<>();
    if (takers.isEmpty()) {
      return moves;
    }
    for (AssignableShard shard : shards) {
      Optional<NodeId> owner = shard.owner();
      boolean held = owner.filter(live::contains).isPresent();
      boolean deaf = held && shard.unacknowledgedFor(now).compareTo(deafAfter) > 0;
      if ((held && !deaf) || shard.pendingOwner().isPresent()) {
        continue;
      }
      if (owner.isEmpty() && mayReturn(shard, takers, now)) {
        continue;
      }
      Optional<NodeId> last = shard.lastOwner().filter(takers::contains);
      NodeId best =
          owner.isEmpty() && last.isPresent()
              ? last.get()
              : takers.stream()
                  .min(
                      Comparator.comparingDouble(
                          node ->
                              loads.get(node)
                                  + distance(node, shard)
                                  + (deaf && owner.get().equals(node) ? 1e6 : 0)))
                  .get();
      loads.merge(best, weight(shard), Double::sum);
      moves.add(new Move(shard, best));
    }
    if (moves.isEmpty() && now.since(movedAt).compareTo(BETWEEN_MOVES) >= 0) {
      evenOut(shards, loads, now).ifPresent(moves::add);
    }
    if (!moves.isEmpty()) {
      movedAt = now;
    }
    return moves;
  }

  /**
   * A process that ended may be back in a moment, and its machines report to its address: as long
   * as that may be, its shards wait for it.
   */
  private static boolean mayReturn(AssignableShard shard, List<NodeId> takers, MonotonicTime now) {
    return shard.lastOwner().filter(node -> !takers.contains(node)).isPresent()
        && shard.unownedFor(now).compareTo(RETURNS) < 0;
  }

  /** The move that brings the most and the least loaded controllers closest to each other. */
  private Optional<Move> evenOut(
      Collection<? extends AssignableShard> shards, Map<NodeId, Double> loads, MonotonicTime now) {
    loads.keySet().removeIf(node -> now.since(liveSince.get(node)).compareTo(SETTLED) < 0);
    if (loads.size() < 2) {
      return Optional.empty();
    }
    Comparator<NodeId> byLoad = Comparator.<NodeId>comparingDouble(loads::get);
    NodeId most = loads.keySet().stream().max(byLoad.thenComparing(NodeId::value)).get();
    NodeId least = loads.keySet().stream().min(byLoad.thenComparing(NodeId::value)).get();
    double difference = loads.get(most) - loads.get(least);
    return shards.stream()
        .filter(shard -> shard.pendingOwner().isEmpty() && shard.owner().equals(Optional.of(most)))
        .filter(shard -> shard.size() > 0)
        .filter(shard -> difference >= MIN_DIFFERENCE && weight(shard) <= difference * 0.75)
        .min(Comparator.comparingDouble(shard -> Math.abs(difference - 2 * weight(shard))))
        .map(shard -> new Move(shard, least));
  }

  private Map<NodeId, Double> loads(
      Collection<? extends AssignableShard> shards, List<NodeId> takers) {
    Map<NodeId, Double> loads = new HashMap<>();
    takers.forEach(node -> loads.put(node, 0.0));
    double total = 0;
    for (AssignableShard shard : shards) {
      total += weight(shard);
      Optional<NodeId> owner = shard.pendingOwner().or(shard::owner);
      owner.ifPresent(node -> loads.computeIfPresent(node, (n, load) -> load + weight(shard)));
    }
    double leading = Math.max(MIN_LEADING, LEADING * total / Math.max(1, takers.size()));
    loads.computeIfPresent(self, (node, load) -> load + leading);
    return loads;
  }

  private static double weight(AssignableShard shard) {
    return PER_SHARD + shard.size();
  }

  private double distance(NodeId node, AssignableShard shard) {
    return shard.zone().equals(zones.get(node)) ? 0 : OTHER_ZONE;
  }
}
