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

/** Grants shards to controllers, and has the grants stored. */
public final class ShardGrants {
  private static final Logger LOG = LoggerFactory.getLogger(ShardGrants.class);
  private static final Duration SUSPICION_WINDOW = Duration.ofSeconds(5);

  private final EventLoop loop;
  private final LeadershipTerm term;
  private final ClusterView view;
  private final PeerStatus peers;
  private final ShardTable shards;
  private final Duration silenceLimit;
  private final ShardAssigner assigner;
  private final OwnerEligibility eligibility;

  /**
   * Grants of one term.
   *
   * @param loop for its clock
   * @param term under which grants are written
   * @param shards all shards
   * @param view control keys as last shown
   * @param peers health of all controllers
   * @param assigner decides which shard goes where
   * @param silenceLimit a controller that was not heard for longer owns nothing
   */
  public ShardGrants(
      EventLoop loop,
      LeadershipTerm term,
      ShardTable shards,
      ClusterView view,
      PeerStatus peers,
      ShardAssigner assigner,
      Duration silenceLimit) {
    this.loop = loop;
    this.term = term;
    this.shards = shards;
    this.view = view;
    this.peers = peers;
    this.silenceLimit = silenceLimit;
    this.eligibility = new OwnerEligibility(peers::workerReachability);
    this.assigner = assigner;
  }

  /** Grants the shards that have no owner, or should have another one. */
  public void assign() {
    if (!term.hasValidLease()) {
      // Whoever leads by now would have to undo it.
      return;
    }
    List<NodeId> owners = eligibleOwners();
    List<NodeId> candidates = candidates(owners);
    // Owned by somebody that this build can't read: not its to give to others.
    List<ShardView> known = new ArrayList<>(shards.all());
    known.removeIf(shard -> view.unreadableGrants().contains(shard.id()));
    Duration unacknowledgedLimit = silenceLimit.multipliedBy(2);
    for (ShardAssigner.PlannedGrant move :
        assigner.planGrants(known, owners, candidates, unacknowledgedLimit, loop.now())) {
      grant(shards.find(move.shard().id()).orElseThrow(), move.owner());
    }
  }

  /**
   * Controllers that may keep the shards they own: all but those that were not heard for long, have
   * no session or are not reached by workers.
   */
  private List<NodeId> eligibleOwners() {
    List<NodeId> live = new ArrayList<>(view.nodes().keySet());
    live.removeIf(node -> peers.timeSinceLastHeard(node).compareTo(silenceLimit) > 0);
    Set<NodeId> ineligible =
        eligibility.updateAndGetIneligible(suspicionsByOwner(), live, loop.now());
    if (!ineligible.containsAll(live)) {
      live.removeAll(ineligible);
    }
    return live;
  }

  /**
   * Controllers that may be granted more shards. One that lost the store, or reports that its
   * workers don't reach it, keeps what it owns but gets no more: it could not adopt it.
   */
  private List<NodeId> candidates(List<NodeId> owners) {
    List<NodeId> candidates = new ArrayList<>(owners);
    candidates.removeIf(
        node ->
            peers.storeLost(node)
                || peers.workerReachability(node) != WorkerReachability.State.REACHABLE);
    return candidates.isEmpty() ? owners : candidates;
  }

  private void grant(ShardView shard, NodeId owner) {
    LOG.info("granting shard, shard={} owner={}", shard.id(), owner);
    shard.pendingOwner(Optional.of(owner));
    shards.storeGrant(shard.id(), new GrantMutation(shard, owner));
  }

  /** How many machines of each owner have recently reported elsewhere. */
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
        shard.pendingOwner(Optional.empty());
        return List.of();
      }
      return List.of(
          Write.put(StoreKeys.grant(shard.id()), ClusterView.grantValue(owner), node.lease()));
    }

    @Override
    public void onCommitted(Revision revision) {
      shard.pendingOwner(Optional.empty());
      shard.grant(Optional.of(new ShardView.Grant(owner, revision)), loop.now());
      if (shard.lastOwner(Optional.of(owner)) && shards.isStored(shard.id())) {
        // Only a later failure of several controllers reads it.
        shards.storeWhenIdle(shard);
      }
      shards.notifyChanged();
    }
  }
}
