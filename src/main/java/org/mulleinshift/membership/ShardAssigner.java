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
 * Which controller is to hold which block: blocks without a grant go back to their last holder if
 * it is there again; those without a live holder go to the controller with the least to do, near
 * ones first; when loads have come apart, one block at a time moves.
 */
public final class ShardAssigner {
  private static final double OTHER_ZONE = 8;
  private static final double PER_BLOCK = 2;

  /** What the leader does besides, as a share of an even load. */
  private static final double LEADING = 0.25;

  private static final double LEAST_LEADING = 6;
  private static final double LEAST_DIFFERENCE = 16;
  private static final Duration SETTLED = Duration.ofSeconds(8);
  private static final Duration BETWEEN_MOVES = Duration.ofSeconds(4);

  /** How long a block without a grant waits for its last holder. */
  private static final Duration RETURNS = Duration.ofMillis(1500);

  /** A block and its next holder. */
  public record Move(AssignableShard block, NodeId holder) {}

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
   * The grants to make now. A holder that hears nothing counts as the last choice for its block.
   *
   * @param live controllers that keep what they hold
   * @param takers those of them whose links can serve a block that is new to them
   */
  public List<Move> moves(
      Collection<? extends AssignableShard> blocks,
      List<NodeId> live,
      List<NodeId> takers,
      Duration deafAfter,
      MonotonicTime now) {
    liveSince.keySet().retainAll(takers);
    takers.forEach(node -> liveSince.putIfAbsent(node, now));
    Map<NodeId, Double> loads = loads(blocks, takers);
    List<Move> moves = new ArrayList<>();
    if (takers.isEmpty()) {
      return moves;
    }
    for (AssignableShard block : blocks) {
      Optional<NodeId> holder = block.holder();
      boolean held = holder.filter(live::contains).isPresent();
      boolean deaf = held && block.unheard(now).compareTo(deafAfter) > 0;
      if ((held && !deaf) || block.granting().isPresent()) {
        continue;
      }
      if (holder.isEmpty() && mayReturn(block, takers, now)) {
        continue;
      }
      Optional<NodeId> last = block.lastHolder().filter(takers::contains);
      NodeId best =
          holder.isEmpty() && last.isPresent()
              ? last.get()
              : takers.stream()
                  .min(
                      Comparator.comparingDouble(
                          node ->
                              loads.get(node)
                                  + distance(node, block)
                                  + (deaf && holder.get().equals(node) ? 1e6 : 0)))
                  .get();
      loads.merge(best, weight(block), Double::sum);
      moves.add(new Move(block, best));
    }
    if (moves.isEmpty() && now.since(movedAt).compareTo(BETWEEN_MOVES) >= 0) {
      evenOut(blocks, loads, now).ifPresent(moves::add);
    }
    if (!moves.isEmpty()) {
      movedAt = now;
    }
    return moves;
  }

  /**
   * A process that ended may be back in a moment, and its machines report to its address: as long
   * as that may be, its blocks wait for it.
   */
  private static boolean mayReturn(AssignableShard block, List<NodeId> takers, MonotonicTime now) {
    return block.lastHolder().filter(node -> !takers.contains(node)).isPresent()
        && block.without(now).compareTo(RETURNS) < 0;
  }

  /** The move that brings the most and the least loaded controllers closest to each other. */
  private Optional<Move> evenOut(
      Collection<? extends AssignableShard> blocks, Map<NodeId, Double> loads, MonotonicTime now) {
    loads.keySet().removeIf(node -> now.since(liveSince.get(node)).compareTo(SETTLED) < 0);
    if (loads.size() < 2) {
      return Optional.empty();
    }
    Comparator<NodeId> byLoad = Comparator.<NodeId>comparingDouble(loads::get);
    NodeId most = loads.keySet().stream().max(byLoad.thenComparing(NodeId::value)).get();
    NodeId least = loads.keySet().stream().min(byLoad.thenComparing(NodeId::value)).get();
    double difference = loads.get(most) - loads.get(least);
    return blocks.stream()
        .filter(block -> block.granting().isEmpty() && block.holder().equals(Optional.of(most)))
        .filter(block -> block.size() > 0)
        .filter(block -> difference >= LEAST_DIFFERENCE && weight(block) <= difference * 0.75)
        .min(Comparator.comparingDouble(block -> Math.abs(difference - 2 * weight(block))))
        .map(block -> new Move(block, least));
  }

  private Map<NodeId, Double> loads(
      Collection<? extends AssignableShard> blocks, List<NodeId> takers) {
    Map<NodeId, Double> loads = new HashMap<>();
    takers.forEach(node -> loads.put(node, 0.0));
    double total = 0;
    for (AssignableShard block : blocks) {
      total += weight(block);
      Optional<NodeId> holder = block.granting().or(block::holder);
      holder.ifPresent(node -> loads.computeIfPresent(node, (n, load) -> load + weight(block)));
    }
    double leading = Math.max(LEAST_LEADING, LEADING * total / Math.max(1, takers.size()));
    loads.computeIfPresent(self, (node, load) -> load + leading);
    return loads;
  }

  private static double weight(AssignableShard block) {
    return PER_BLOCK + block.size();
  }

  private double distance(NodeId node, AssignableShard block) {
    return block.zone().equals(zones.get(node)) ? 0 : OTHER_ZONE;
  }
}
