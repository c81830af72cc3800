package org.mulleinshift.sharding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.leader.Leader;
import org.mulleinshift.membership.OwnerEligibility;
import org.mulleinshift.membership.ShardAssigner;
import org.mulleinshift.membership.WorkerReachability;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.TransactionBatcher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Grants shards of machines to controllers, and has the grants stored. */
public final class ShardGrants {
  private static final Logger LOG = LoggerFactory.getLogger(ShardGrants.class);
  private static final Duration SUSPICION_WINDOW = Duration.ofSeconds(5);

  private final Leader leader;
  private final Leader.Context context;
  private final TransactionBatcher batcher;
  private final ShardAssigner assigner;
  private final OwnerEligibility eligibility;

  public ShardGrants(Leader leader, Leader.Context context, TransactionBatcher batcher) {
    this.leader = leader;
    this.context = context;
    this.batcher = batcher;
    this.eligibility = new OwnerEligibility(context.workerReachability());
    this.assigner =
        new ShardAssigner(
            context.self(), zonesOf(context.self(), context.settings()), context.loop().now());
  }

  /**
   * A controller that is silent for long, or has no session or no workers, holds nothing. One that
   * lost the state service, or says that its workers are silent, keeps what it holds but gets no
   * more: it could not take it up.
   */
  public void assign() {
    if (!context.holdsValidLease().getAsBoolean()) {
      // Whoever leads by now would have to undo it.
      return;
    }
    Duration limit = context.tunables().seconds(Tunables.Key.PEER_SILENT_S);
    List<NodeId> live = new ArrayList<>(context.view().nodes().keySet());
    live.removeIf(node -> context.peerSilence().apply(node).compareTo(limit) > 0);
    Set<NodeId> unfit = eligibility.ineligible(suspicionsByOwner(), live, context.loop().now());
    if (!unfit.containsAll(live)) {
      live.removeAll(unfit);
    }
    List<NodeId> takers = new ArrayList<>(live);
    takers.removeIf(
        node ->
            context.storeLost().test(node)
                || context.workerReachability().apply(node) != WorkerReachability.State.WELL);
    takers = takers.isEmpty() ? live : takers;
    // Held by somebody that this build can't read: not its to give to others.
    List<ShardView> known = new ArrayList<>(leader.shards().values());
    known.removeIf(shard -> context.view().unreadableGrants().contains(shard.id()));
    for (ShardAssigner.Move move :
        assigner.moves(known, live, takers, limit.multipliedBy(2), context.loop().now())) {
      ShardView shard = leader.shards().get(move.shard().id());
      LOG.info("granting {} to {}", shard.id(), move.owner());
      shard.granting(Optional.of(move.owner()));
      batcher.submit(StoreKeys.grant(shard.id()), new GrantMutation(shard, move.owner()));
    }
  }

  /** How many machines of each owner reported elsewhere lately. */
  private Map<NodeId, Integer> suspicionsByOwner() {
    Map<NodeId, Integer> suspicions = new HashMap<>();
    for (ShardView shard : leader.shards().values()) {
      int count = shard.suspicions(SUSPICION_WINDOW, context.loop().now());
      shard.owner().ifPresent(node -> suspicions.merge(node, count, Integer::sum));
    }
    return suspicions;
  }

  private static Map<NodeId, ZoneId> zonesOf(NodeId self, PlatformSettings settings) {
    Map<NodeId, ZoneId> zones = new HashMap<>();
    zones.put(self, new ZoneId(settings.zone()));
    settings
        .members()
        .forEach(member -> zones.put(new NodeId(member.label()), new ZoneId(member.zone())));
    return zones;
  }

  /** A shard's new owner, bound to the owner's session lease. */
  private final class GrantMutation implements TransactionBatcher.Mutation {
    private final ShardView shard;
    private final NodeId owner;

    GrantMutation(ShardView shard, NodeId owner) {
      this.shard = shard;
      this.owner = owner;
    }

    @Override
    public List<Write> writes() {
      ClusterView.NodeRecord node = context.view().nodes().get(owner);
      if (node == null) {
        shard.granting(Optional.empty());
      }
      return node == null
          ? List.of()
          : List.of(
              Write.put(StoreKeys.grant(shard.id()), ClusterView.grantValue(owner), node.lease()));
    }

    @Override
    public void onCommitted(Revision revision) {
      shard.granting(Optional.empty());
      shard.grant(Optional.of(new ShardView.Grant(owner, revision)), context.loop().now());
      if (shard.lastOwner(Optional.of(owner)) && batcher.hasRevision(StoreKeys.shard(shard.id()))) {
        // Only the next fall of many asks for it.
        leader.autoscaler().storeWhenIdle(shard);
      }
      leader.scheduleSend();
    }
  }
}
