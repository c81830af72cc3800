package org.mulleinshift.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Decides which controller should own which shard. A shard without a grant returns to its last
 * owner if that is available. Any other shard without a live owner goes to the controller with the
 * lowest load, preferably one in its zone. If loads differ too much, shards are moved one at a
 * time.
 */
public final class ShardAssigner {
  /** Load, in machines, that is added for a controller in another zone than the shard. */
  private static final double OTHER_ZONE_PENALTY = 8;

  /** Load of a shard, in machines, in addition to its machines. */
  private static final double LOAD_PER_SHARD = 2;

  /** Load of being the leader, as a fraction of the average load of the candidates. */
  private static final double LEADER_LOAD_SHARE = 0.25;

  /** Lower bound on the load of being the leader, in machines. */
  private static final double MIN_LEADER_LOAD = 6;

  /** Makes an owner that does not acknowledge assignments the last choice for its shard. */
  private static final double UNRESPONSIVE_PENALTY = 1e6;

  /**
   * Penalty on a controller that is not known to be reached by machines, for a shard whose machines
   * have left its owner. A controller with few machines can't tell for seconds that it is cut off.
   */
  private static final double UNKNOWN_REACHABILITY_PENALTY = 1e4;

  /** Load differences below this are not balanced. */
  private static final double MIN_LOAD_DIFFERENCE = 16;

  /** A shard is moved only if its load is at most this fraction of the load difference. */
  private static final double MAX_MOVED_SHARE = 0.75;

  /**
   * Time for which a controller must have been a candidate, and a shard must have had its owner,
   * before load balancing considers it. Until then the shard's machines may still be switching to
   * that owner.
   */
  private static final Duration SETTLING_TIME = Duration.ofSeconds(8);

  private static final Duration MIN_TIME_BETWEEN_MOVES = Duration.ofSeconds(4);

  /** How long a shard without a grant waits for its last owner to return. */
  private static final Duration LAST_OWNER_WAIT = Duration.ofMillis(1500);

  /**
   * A grant that should be made.
   *
   * @param shard the shard
   * @param owner its next owner
   */
  public record PlannedGrant(AssignableShard shard, NodeId owner) {}

  private final NodeId self;
  private final Map<NodeId, ZoneId> zones;
  private final Map<NodeId, MonotonicTime> candidateSince = new HashMap<>();
  private MonotonicTime lastPlannedAt;

  /**
   * Creates the assigner of one term.
   *
   * @param self the leader
   * @param zones the zone of each controller, the leader included
   */
  public ShardAssigner(NodeId self, Map<NodeId, ZoneId> zones, MonotonicTime now) {
    this.self = self;
    this.zones = zones;
    this.lastPlannedAt = now;
  }

  /**
   * Returns the grants to make now: for shards that have no live, responsive owner, or else at most
   * one that balances the load.
   *
   * @param live controllers that may keep the shards that they own
   * @param candidates those of them that may be granted further shards
   * @param unresponsiveAfter time without an acknowledgement after which an owner loses its shard
   */
  public List<PlannedGrant> planGrants(
      Collection<? extends AssignableShard> shards,
      List<NodeId> live,
      List<NodeId> candidates,
      Duration unresponsiveAfter,
      MonotonicTime now) {
    candidateSince.keySet().retainAll(candidates);
    candidates.forEach(node -> candidateSince.putIfAbsent(node, now));
    Map<NodeId, Double> loads = loads(shards, candidates);
    List<PlannedGrant> planned = new ArrayList<>();
    if (candidates.isEmpty()) {
      return planned;
    }
    for (AssignableShard shard : shards) {
      boolean hasLiveOwner = shard.owner().filter(live::contains).isPresent();
      // unacknowledgedFor has a side effect, so it is called only for a live owner.
      boolean keepsOwner =
          hasLiveOwner && shard.unacknowledgedFor(now).compareTo(unresponsiveAfter) <= 0;
      if (keepsOwner
          || shard.pendingOwner().isPresent()
          || awaitsLastOwner(shard, candidates, now)) {
        continue;
      }
      NodeId owner = selectOwner(shard, shards, candidates, loads);
      loads.merge(owner, load(shard), Double::sum);
      planned.add(new PlannedGrant(shard, owner));
    }
    if (planned.isEmpty() && now.since(lastPlannedAt).compareTo(MIN_TIME_BETWEEN_MOVES) >= 0) {
      planBalancingMove(shards, loads, now).ifPresent(planned::add);
    }
    if (!planned.isEmpty()) {
      lastPlannedAt = now;
    }
    return planned;
  }

  /**
   * Whether the shard waits for its last owner: that process may be restarting, and the shard's
   * machines report to its address.
   */
  private static boolean awaitsLastOwner(
      AssignableShard shard, List<NodeId> candidates, MonotonicTime now) {
    return shard.owner().isEmpty()
        && shard.lastOwner().filter(node -> !candidates.contains(node)).isPresent()
        && shard.unownedFor(now).compareTo(LAST_OWNER_WAIT) < 0;
  }

  private NodeId selectOwner(
      AssignableShard shard,
      Collection<? extends AssignableShard> shards,
      List<NodeId> candidates,
      Map<NodeId, Double> loads) {
    Optional<NodeId> lastOwner = shard.lastOwner().filter(candidates::contains);
    if (shard.owner().isEmpty() && lastOwner.isPresent()) {
      return lastOwner.get();
    }
    Predicate<NodeId> reachabilityUnknown = reachabilityUnknown(shard, shards);
    return candidates.stream()
        .min(
            Comparator.comparingDouble(
                node ->
                    loads.get(node)
                        + zonePenalty(node, shard)
                        + (reachabilityUnknown.test(node) ? UNKNOWN_REACHABILITY_PENALTY : 0)
                        + (shard.owner().equals(Optional.of(node)) ? UNRESPONSIVE_PENALTY : 0)))
        .orElseThrow();
  }

  /**
   * Matches controllers that the shard's machines have not reported to since they left their owner,
   * and that own too few machines to detect soon that they can't be reached.
   */
  private static Predicate<NodeId> reachabilityUnknown(
      AssignableShard shard, Collection<? extends AssignableShard> shards) {
    Set<NodeId> reached = shard.recentlyContactedControllers();
    if (reached.isEmpty()) {
      return node -> false;
    }
    Map<NodeId, Integer> machines = new HashMap<>();
    for (AssignableShard other : shards) {
      other.owner().ifPresent(node -> machines.merge(node, other.machineCount(), Integer::sum));
    }
    return node ->
        !reached.contains(node)
            && !WorkerReachability.canDetectHeartbeatLoss(machines.getOrDefault(node, 0));
  }

  /** Selects the move that brings the highest and the lowest load closest to each other. */
  private Optional<PlannedGrant> planBalancingMove(
      Collection<? extends AssignableShard> shards, Map<NodeId, Double> loads, MonotonicTime now) {
    loads
        .keySet()
        .removeIf(node -> now.since(candidateSince.get(node)).compareTo(SETTLING_TIME) < 0);
    if (loads.size() < 2) {
      return Optional.empty();
    }
    Comparator<NodeId> byLoad =
        Comparator.<NodeId>comparingDouble(loads::get).thenComparing(NodeId::value);
    NodeId highest = loads.keySet().stream().max(byLoad).orElseThrow();
    NodeId lowest = loads.keySet().stream().min(byLoad).orElseThrow();
    double difference = loads.get(highest) - loads.get(lowest);
    return shards.stream()
        .filter(
            shard -> shard.pendingOwner().isEmpty() && shard.owner().equals(Optional.of(highest)))
        .filter(shard -> shard.machineCount() > 0)
        .filter(shard -> shard.grantUnchangedFor(now).compareTo(SETTLING_TIME) >= 0)
        .filter(
            shard ->
                difference >= MIN_LOAD_DIFFERENCE && load(shard) <= difference * MAX_MOVED_SHARE)
        .min(Comparator.comparingDouble(shard -> Math.abs(difference - 2 * load(shard))))
        .map(shard -> new PlannedGrant(shard, lowest));
  }

  private Map<NodeId, Double> loads(
      Collection<? extends AssignableShard> shards, List<NodeId> candidates) {
    Map<NodeId, Double> loads = new HashMap<>();
    candidates.forEach(node -> loads.put(node, 0.0));
    double total = 0;
    for (AssignableShard shard : shards) {
      total += load(shard);
      Optional<NodeId> owner = shard.pendingOwner().or(shard::owner);
      owner.ifPresent(node -> loads.computeIfPresent(node, (n, sum) -> sum + load(shard)));
    }
    double leaderLoad =
        Math.max(MIN_LEADER_LOAD, LEADER_LOAD_SHARE * total / Math.max(1, candidates.size()));
    loads.computeIfPresent(self, (node, sum) -> sum + leaderLoad);
    return loads;
  }

  /** The load of a shard, in machines. */
  private static double load(AssignableShard shard) {
    return LOAD_PER_SHARD + shard.machineCount();
  }

  private double zonePenalty(NodeId node, AssignableShard shard) {
    return shard.zone().equals(zones.get(node)) ? 0 : OTHER_ZONE_PENALTY;
  }
}
