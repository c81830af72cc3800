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
import org.mulleinshift.model.ClusterView.GrantRecord;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.TransactionBatcher;
import org.mulleinshift.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Grants shards to controllers and writes the grants to the store. */
public final class ShardGrants {
  private static final Logger LOG = LoggerFactory.getLogger(ShardGrants.class);
  private static final Duration SUSPICION_WINDOW = Duration.ofSeconds(5);

  private final EventLoop loop;
  private final LeadershipTerm term;
  private final ClusterView view;
  private final PeerStatus peers;
  private final ShardTable shards;
  private final Duration peerTimeout;
  private final ShardAssigner assigner;
  private final OwnerEligibility eligibility;

  /**
   * Creates the grants of one term.
   *
   * @param loop provides the current time
   * @param term the term under which grants are written
   * @param shards all shards
   * @param view leader, sessions, grants and shards as last seen in the store
   * @param peers the health of all controllers
   * @param assigner decides which controller gets which shard
   * @param peerTimeout a controller not heard from for longer loses its shards
   */
  public ShardGrants(
      EventLoop loop,
      LeadershipTerm term,
      ShardTable shards,
      ClusterView view,
      PeerStatus peers,
      ShardAssigner assigner,
      Duration peerTimeout) {
    this.loop = loop;
    this.term = term;
    this.shards = shards;
    this.view = view;
    this.peers = peers;
    this.peerTimeout = peerTimeout;
    this.eligibility = new OwnerEligibility(peers::workerReachability);
    this.assigner = assigner;
  }

  /**
   * Applies the grants in the view of the control keys: they may be new, or gone with the session
   * of a controller. A view that is older than a grant of this leader does not undo it.
   */
  public void onViewChanged() {
    for (ShardView shard : shards.all()) {
      Optional<GrantRecord> inView = Optional.ofNullable(view.grants().get(shard.id()));
      // The view may have single changes beyond its revision.
      Revision asOf =
          inView
              .map(GrantRecord::revision)
              .filter(revision -> revision.compareTo(view.revision()) > 0)
              .orElse(view.revision());
      if (shard.applyGrant(inView.map(ShardGrants::toGrant), asOf, loop.now())) {
        shards.recordGrantRevision(shard.id(), inView.map(GrantRecord::revision));
      }
    }
  }

  private static ShardView.Grant toGrant(GrantRecord stored) {
    return new ShardView.Grant(stored.owner(), stored.revision());
  }

  /**
   * Grants the shards that have no owner or should have another one; does nothing if the term's
   * lease is not valid.
   */
  public void assign() {
    if (!term.hasValidLease()) {
      // Another controller may be leading by now, and would have to undo the grants.
      return;
    }
    List<NodeId> owners = eligibleOwners();
    List<NodeId> candidates = candidates(owners);
    // A shard whose grant this build can't read has an owner, so it must not be granted again.
    List<ShardView> assignable = new ArrayList<>(shards.all());
    assignable.removeIf(shard -> view.unreadableGrants().contains(shard.id()));
    Duration unacknowledgedLimit = peerTimeout.multipliedBy(2);
    for (ShardAssigner.PlannedGrant move :
        assigner.planGrants(assignable, owners, candidates, unacknowledgedLimit, loop.now())) {
      grant(shards.find(move.shard().id()).orElseThrow(), move.owner());
    }
  }

  /**
   * Controllers that may keep the shards they own: those that have a session, were heard from
   * within the peer timeout and are not ineligible because their workers can't reach them. If all
   * of them are ineligible, all of them keep their shards.
   */
  private List<NodeId> eligibleOwners() {
    List<NodeId> live = new ArrayList<>(view.nodes().keySet());
    live.removeIf(node -> peers.timeSinceLastHeard(node).compareTo(peerTimeout) > 0);
    Set<NodeId> ineligible =
        eligibility.updateAndGetIneligible(suspicionsByOwner(), live, loop.now());
    if (!ineligible.containsAll(live)) {
      live.removeAll(ineligible);
    }
    return live;
  }

  /**
   * Controllers that may be granted more shards. One that lost its connection to the store, or
   * whose own report shows any doubt that its workers reach it, keeps its shards but gets no more,
   * which it could not adopt. If that leaves none, all owners are candidates.
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
    shard.setPendingOwner(Optional.of(owner));
    shards.storeGrant(shard.id(), new GrantMutation(shard, owner));
  }

  /** How many machines of each owner have recently sent heartbeats to other controllers. */
  private Map<NodeId, Integer> suspicionsByOwner() {
    Map<NodeId, Integer> suspicions = new HashMap<>();
    for (ShardView shard : shards.all()) {
      int count = shard.countSuspicions(SUSPICION_WINDOW, loop.now());
      shard.owner().ifPresent(node -> suspicions.merge(node, count, Integer::sum));
    }
    return suspicions;
  }

  /** Stores a shard's new owner under a key bound to the owner's session lease. */
  private final class GrantMutation implements TransactionBatcher.Mutation {
    private final ShardView shard;
    private final NodeId owner;

    /** Whether the grant was found stored when its key was read again, so nothing is left to do. */
    private boolean foundStored;

    GrantMutation(ShardView shard, NodeId owner) {
      this.shard = shard;
      this.owner = owner;
    }

    @Override
    public List<Write> writes() {
      ClusterView.NodeRecord node = view.nodes().get(owner);
      if (node == null || foundStored) {
        shard.setPendingOwner(Optional.empty());
        return List.of();
      }
      return List.of(
          Write.put(StoreKeys.grant(shard.id()), ClusterView.grantValue(owner), node.lease()));
    }

    @Override
    public void onCommitted(Revision revision) {
      shard.setPendingOwner(Optional.empty());
      apply(new ShardView.Grant(owner, revision));
    }

    /**
     * Applies a grant that was stored although its answer is missing. From now on nothing is sent
     * under the grant before it.
     */
    @Override
    public void onReread(String key, Optional<KeyValue> item) {
      if (!key.equals(StoreKeys.grant(shard.id()))) {
        return;
      }
      Optional<ShardView.Grant> stored =
          item.flatMap(ClusterView::readGrant).map(ShardGrants::toGrant);
      if (stored.isPresent() && !stored.equals(shard.grant()) && apply(stored.get())) {
        foundStored = stored.get().owner().equals(owner);
      }
    }

    private boolean apply(ShardView.Grant stored) {
      if (!shard.applyGrant(Optional.of(stored), stored.revision(), loop.now())) {
        return false;
      }
      if (shard.setLastOwner(Optional.of(stored.owner())) && shards.isStored(shard.id())) {
        // Not urgent: it is read only after a later failure of several controllers.
        shards.storeWhenIdle(shard);
      }
      shards.notifyChanged();
      return true;
    }
  }
}
