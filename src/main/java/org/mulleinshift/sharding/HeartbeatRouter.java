package org.mulleinshift.sharding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.model.ClusterView.GrantRecord;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.protocol.WorkerHeartbeat;
import org.mulleinshift.protocol.peer.UnknownWorkerReport;
import org.mulleinshift.transport.HttpStatus;
import org.mulleinshift.transport.Responder;

/** Has heartbeats answered by the owner of the machine's shard, here or on another controller. */
final class HeartbeatRouter {
  private static final String NO_REDIRECT = "{}";

  private final NodeId self;
  private final ClusterView view;
  private final OwnedShards.Peers peers;
  private final Map<ShardId, ShardOwner> owned;
  private final Consumer<Object> toLeader;
  private final WorkerProber prober;
  private final SuspicionReporter suspicions;

  /**
   * A router of one controller.
   *
   * @param owned the shards that it owns, as of now at any time
   */
  HeartbeatRouter(
      NodeId self,
      ClusterView view,
      ShardOwner.Context context,
      OwnedShards.Peers peers,
      Map<ShardId, ShardOwner> owned,
      Consumer<Object> toLeader) {
    this.self = self;
    this.view = view;
    this.peers = peers;
    this.owned = owned;
    this.toLeader = toLeader;
    this.prober = new WorkerProber(context.workers());
    this.suspicions = new SuspicionReporter(context.loop(), view, toLeader);
  }

  /** Answers the heartbeat, or names the controller that should. */
  void route(WorkerHeartbeat heartbeat, Responder responder) {
    Optional<ShardId> shard = view.shardOf(heartbeat.machine());
    if (shard.isEmpty()) {
      prober.probe(heartbeat, () -> reportUnknownWorker(heartbeat));
      responder.respond(HttpStatus.MISDIRECTED_REQUEST, NO_REDIRECT);
      return;
    }
    ShardOwner owner = owned.get(shard.get());
    if (owner == null) {
      Optional<NodeId> next = redirectTarget(shard.get(), heartbeat);
      responder.respond(
          HttpStatus.MISDIRECTED_REQUEST, next.map(WorkerCodec::writeRedirect).orElse(NO_REDIRECT));
      return;
    }
    Optional<String> answer = owner.onHeartbeat(heartbeat);
    if (answer.isPresent()) {
      responder.respond(HttpStatus.OK, answer.get());
    } else {
      responder.respond(HttpStatus.SERVICE_UNAVAILABLE, JobCodec.writeError("not entitled"));
    }
  }

  private void reportUnknownWorker(WorkerHeartbeat heartbeat) {
    toLeader.accept(
        new UnknownWorkerReport(
            heartbeat.machine().value(),
            heartbeat.address(),
            heartbeat.type().value(),
            heartbeat.zone().value(),
            heartbeat.spot()));
  }

  /** The controller that should answer a machine of a shard that is not owned here. */
  private Optional<NodeId> redirectTarget(ShardId shard, WorkerHeartbeat heartbeat) {
    GrantRecord grant = view.grants().get(shard);
    if (grant == null || grant.owner().equals(self)) {
      return Optional.empty();
    }
    if (peers.answersWorkers().test(grant.owner())) {
      return Optional.of(grant.owner());
    }
    prober.probe(heartbeat, () -> suspicions.report(shard, heartbeat.machine()));
    return redirectPast(grant.owner());
  }

  /**
   * A worker that is sent nowhere tries the next controller by itself. Where that is the very one
   * that does not answer it, the one after is named: each attempt there costs a third of its lease.
   */
  private Optional<NodeId> redirectPast(NodeId unresponsive) {
    List<NodeId> all = new ArrayList<>(peers.nodes());
    all.add(self);
    all.sort(Comparator.comparing(NodeId::value));
    int own = all.indexOf(self);
    if (!all.get((own + 1) % all.size()).equals(unresponsive)) {
      return Optional.empty();
    }
    NodeId following = all.get((own + 2) % all.size());
    return Optional.of(following)
        .filter(node -> !node.equals(self) && peers.answersWorkers().test(node));
  }
}
