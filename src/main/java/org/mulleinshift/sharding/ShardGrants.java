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

/** Grants blocks of machines to controllers, and has the grants stored. */
public final class ShardGrants {
  private static final Logger LOG = LoggerFactory.getLogger(ShardGrants.class);
  private static final Duration KNOCKED = Duration.ofSeconds(5);

  private final Leader leader;
  private final Leader.Surroundings around;
  private final TransactionBatcher journal;
  private final ShardAssigner sharing;
  private final OwnerEligibility fitness;

  public ShardGrants(Leader leader, Leader.Surroundings around, TransactionBatcher journal) {
    this.leader = leader;
    this.around = around;
    this.journal = journal;
    this.fitness = new OwnerEligibility(around.hearing());
    this.sharing =
        new ShardAssigner(
            around.self(), zonesOf(around.self(), around.settings()), around.loop().now());
  }

  /**
   * A controller that is silent for long, or has no session or no workers, holds nothing. One that
   * lost the state service, or says that its workers are silent, keeps what it holds but gets no
   * more: it could not take it up.
   */
  public void assign() {
    if (!around.certain().getAsBoolean()) {
      // Whoever leads by now would have to undo it.
      return;
    }
    Duration limit = around.tunables().seconds(Tunables.Key.PEER_SILENT_S);
    List<NodeId> live = new ArrayList<>(around.view().nodes().keySet());
    live.removeIf(node -> around.peerSilence().apply(node).compareTo(limit) > 0);
    Set<NodeId> unfit = fitness.unfit(knocks(), live, around.loop().now());
    if (!unfit.containsAll(live)) {
      live.removeAll(unfit);
    }
    List<NodeId> takers = new ArrayList<>(live);
    takers.removeIf(
        node ->
            around.storeLost().test(node)
                || around.hearing().apply(node) != WorkerReachability.State.WELL);
    takers = takers.isEmpty() ? live : takers;
    // Held by somebody that this build can't read: not its to give to others.
    List<ShardView> known = new ArrayList<>(leader.blocks().values());
    known.removeIf(block -> around.view().unreadableGrants().contains(block.id()));
    for (ShardAssigner.Move move :
        sharing.moves(known, live, takers, limit.multipliedBy(2), around.loop().now())) {
      ShardView block = leader.blocks().get(move.block().id());
      LOG.info("granting {} to {}", block.id(), move.holder());
      block.granting(Optional.of(move.holder()));
      journal.submit(StoreKeys.grant(block.id()), new GrantUnit(block, move.holder()));
    }
  }

  /** How many machines of each holder reported elsewhere lately. */
  private Map<NodeId, Integer> knocks() {
    Map<NodeId, Integer> knocks = new HashMap<>();
    for (ShardView block : leader.blocks().values()) {
      int count = block.knocks(KNOCKED, around.loop().now());
      block.holder().ifPresent(node -> knocks.merge(node, count, Integer::sum));
    }
    return knocks;
  }

  private static Map<NodeId, ZoneId> zonesOf(NodeId self, PlatformSettings settings) {
    Map<NodeId, ZoneId> zones = new HashMap<>();
    zones.put(self, new ZoneId(settings.zone()));
    settings
        .members()
        .forEach(member -> zones.put(new NodeId(member.label()), new ZoneId(member.zone())));
    return zones;
  }

  /** A block's new holder, bound to the holder's session lease. */
  private final class GrantUnit implements TransactionBatcher.Unit {
    private final ShardView block;
    private final NodeId holder;

    GrantUnit(ShardView block, NodeId holder) {
      this.block = block;
      this.holder = holder;
    }

    @Override
    public List<Write> writes() {
      ClusterView.NodeRecord node = around.view().nodes().get(holder);
      if (node == null) {
        block.granting(Optional.empty());
      }
      return node == null
          ? List.of()
          : List.of(
              Write.put(StoreKeys.grant(block.id()), ClusterView.grantValue(holder), node.hold()));
    }

    @Override
    public void committed(Revision revision) {
      block.granting(Optional.empty());
      block.grant(Optional.of(new ShardView.Grant(holder, revision)), around.loop().now());
      if (block.lastHolder(Optional.of(holder)) && journal.knows(StoreKeys.block(block.id()))) {
        // Only the next fall of many asks for it.
        leader.fleet().storeWhenIdle(block);
      }
      leader.sendSoon();
    }
  }
}
