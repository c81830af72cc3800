package org.mulleinshift.sharding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.membership.LeadershipTerm;
import org.mulleinshift.membership.OwnerEligibility;
import org.mulleinshift.membership.PeerStatus;
import org.mulleinshift.membership.ShardAssigner;
import org.mulleinshift.membership.WorkerReachability;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.TransactionBatcher;
import org.mulleinshift.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Grants shards of machines to controllers, and has the grants stored. */
public final class ShardGrants {
  private static final Logger LOG = LoggerFactory.getLogger(ShardGrants.class);
  private static final Duration SUSPICION_WINDOW = Duration.ofSeconds(5);

  private final EventLoop loop;
  private final LeadershipTerm term;
  private final ClusterView view;
  private final PeerStatus peers;
  private final ShardTable shards;
  private final Duration silenceLimit;
  private final TransactionBatcher batcher;
  private final ShardAssigner assigner;
  private final OwnerEligibility eligibility;

  /**
   * Grants of one term.
   *
   * @param zones the zone of each controller, this one included
   * @param silenceLimit a controller that is silent for longer owns nothing
   */
  public ShardGrants(
      EventLoop loop,
      LeadershipTerm term,
      TransactionBatcher batcher,
      ShardTable shards,
      ClusterView view,
      PeerStatus peers,
      ShardAssigner assigner,
      Duration silenceLimit) {
    this.loop = loop;
    this.term = term;
    this.batcher = batcher;
    this.shards = shards;
    this.view = view;
    this.peers = peers;
    this.silenceLimit = silenceLimit;
    this.eligibility = new OwnerEligibility(peers::workerReachability);
    this.assigner = assigner;
  }

  /**
   * A controller that is silent for long, or has no session or no workers, holds nothing. One that
   * lost the state service, or says that its workers are silent, keeps what it holds but gets no
   * more: it could not take it up.
   */
  public void assign() {
    if (!term.holdsValidLease()) {
      // Whoever leads by now would have to undo it.
      return;
    }
    List<NodeId> live = new ArrayList<>(view.nodes().keySet());
    live.removeIf(node -> peers.silence(node).compareTo(silenceLimit) > 0);
    Set<NodeId> unfit = eligibility.ineligible(suspicionsByOwner(), live, loop.now());
    if (!unfit.containsAll(live)) {
      live.removeAll(unfit);
    }
    List<NodeId> takers = new ArrayList<>(live);
    takers.removeIf(
        node ->
            peers.storeLost(node)
                || peers.workerReachability(node) != WorkerReachability.State.WELL);
    takers = takers.isEmpty() ? live : takers;
    // Held by somebody that this build can't read: not its to give to others.
    List<ShardView> known = new ArrayList<>(shards.all());
    known.removeIf(shard -> view.unreadableGrants().contains(shard.id()));
    for (ShardAssigner.Move move :
        assigner.moves(known, live, takers, silenceLimit.multipliedBy(2), loop.now())) {
      ShardView shard = shards.find(move.shard().id()).orElseThrow();
      LOG.info("granting {} to {}", shard.id(), move.owner());
      shard.granting(Optional.of(move.owner()));
      batcher.submit(StoreKeys.grant(shard.id()), new GrantMutation(shard, move.owner()));
    }
  }

  /** How many machines of each owner reported elsewhere lately. */
  private Map<NodeId, Integer> suspicionsByOwner() {
    Map<NodeId, Integer> suspicions = new HashMap<>();
    for (ShardView shard : shards.all()) {
      int count = shard.suspicions(SUSPICION_WINDOW, loop.now());
      shard.owner().ifPresent(node -> suspicions.merge(node, count, Integer::sum));
    }
    return suspicions;
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
      ClusterView.NodeRecord node = view.nodes().get(owner);
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
      shard.grant(Optional.of(new ShardView.Grant(owner, revision)), loop.now());
      if (shard.lastOwner(Optional.of(owner)) && batcher.hasRevision(StoreKeys.shard(shard.id()))) {
        // Only the next fall of many asks for it.
        shards.storeWhenIdle(shard);
      }
      shards.notifyChanged();
    }
  }
}
