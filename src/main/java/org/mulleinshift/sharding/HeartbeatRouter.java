package org.mulleinshift.sharding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
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
import org.mulleinshift.sharding.HeldHeartbeats.Held;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpStatus;
import org.mulleinshift.transport.Responder;

/**
 * Has heartbeats answered by the owner of the machine's shard, here or on another controller. A
 * worker that has left an owner unanswered is not sent back until that owner has been shown to
 * answer workers: its heartbeat is held until then, or until the shard has another owner.
 */
final class HeartbeatRouter {
  private static final String NO_REDIRECT = "{}";

  /** A second and a half less than a worker waits for a response. */
  private static final Duration HOLD_LIMIT = Duration.ofMillis(2500);

  private static final Duration LONG_HOLD_LIMIT = Duration.ofMillis(3500);

  private final EventLoop loop;
  private final NodeId self;
  private final ClusterView view;
  private final OwnedShards.Peers peers;
  private final Map<ShardId, ShardOwner> owned;
  private final Consumer<Object> toLeader;
  private final WorkerProber prober;
  private final SuspicionReporter suspicions;
  private final OwnerResponsiveness owners;
  private final HeldHeartbeats held;

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
    this.loop = context.loop();
    this.self = self;
    this.view = view;
    this.peers = peers;
    this.owned = owned;
    this.toLeader = toLeader;
    this.prober = new WorkerProber(context.workers());
    this.suspicions = new SuspicionReporter(loop, view, toLeader);
    this.owners =
        new OwnerResponsiveness(view, peers.health(), context.workerTiming().heartbeatInterval());
    this.held = new HeldHeartbeats(loop, this::settle, this::holdLimit, this::sendOn);
  }

  /** Answers the heartbeat, or names the controller that should, now or as soon as it is known. */
  void route(WorkerHeartbeat heartbeat, Responder responder) {
    Held next = new Held(heartbeat, responder, loop.now());
    if (!settle(next)) {
      suspectOwner(heartbeat);
      held.hold(next);
    }
  }

  /** Shards or grants have changed. */
  void onControlChange() {
    held.review();
  }

  /** Responds if it is known who should answer; returns whether it is. */
  private boolean settle(Held next) {
    WorkerHeartbeat heartbeat = next.heartbeat();
    Optional<ShardId> shard = view.shardOf(heartbeat.machine());
    if (shard.isEmpty()) {
      prober.probe(heartbeat, () -> reportUnknownWorker(heartbeat));
      next.responder().respond(HttpStatus.MISDIRECTED_REQUEST, NO_REDIRECT);
      return true;
    }
    ShardOwner owner = owned.get(shard.get());
    if (owner != null) {
      answer(owner, next);
      return true;
    }
    GrantRecord grant = view.grants().get(shard.get());
    if (grant == null) {
      next.responder().respond(HttpStatus.MISDIRECTED_REQUEST, NO_REDIRECT);
      return true;
    }
    boolean redirect = mayRedirect(grant, next);
    if (redirect) {
      String body = WorkerCodec.writeRedirect(grant.owner());
      next.responder().respond(HttpStatus.MISDIRECTED_REQUEST, body);
    }
    return redirect;
  }

  private static void answer(ShardOwner owner, Held next) {
    Optional<String> answer = owner.onHeartbeat(next.heartbeat());
    if (answer.isPresent()) {
      next.responder().respond(HttpStatus.OK, answer.get());
    } else {
      String error = JobCodec.writeError("not entitled");
      next.responder().respond(HttpStatus.SERVICE_UNAVAILABLE, error);
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

  /** Whether the worker is to report to the shard's owner, another controller than this one. */
  private boolean mayRedirect(GrantRecord grant, Held next) {
    if (grant.owner().equals(self)) {
      // Granted to this controller, which has not adopted the shard yet.
      return false;
    }
    return hasLeft(grant, next.heartbeat())
        ? owners.isShownSince(grant.owner(), next.arrivedAt())
        : owners.answersWorkers(grant.owner());
  }

  /** A worker that knows a token of the grant was answered by its owner, and now reports here. */
  private static boolean hasLeft(GrantRecord grant, WorkerHeartbeat heartbeat) {
    return MachineToken.belongsTo(heartbeat.highestToken(), grant.revision());
  }

  /** The worker should be at an owner that seems not to answer it, if the heartbeat is no copy. */
  private void suspectOwner(WorkerHeartbeat heartbeat) {
    Optional<ShardId> shard = view.shardOf(heartbeat.machine());
    Optional<GrantRecord> grant = shard.map(view.grants()::get);
    if (grant.isPresent() && !grant.get().owner().equals(self)) {
      prober.probe(heartbeat, () -> onOwnerSuspected(shard.get(), grant.get(), heartbeat));
    }
  }

  private void onOwnerSuspected(ShardId shard, GrantRecord grant, WorkerHeartbeat heartbeat) {
    if (hasLeft(grant, heartbeat)) {
      owners.onDeparture(grant.owner(), loop.now());
    }
    suspicions.report(shard, heartbeat.machine());
  }

  /** The worker tries another controller, since nobody is known who could answer it. */
  private void sendOn(Held next) {
    String body =
        nextController(next.heartbeat())
            .filter(node -> !node.equals(others().get(0)))
            .map(WorkerCodec::writeRedirect)
            .orElse(NO_REDIRECT);
    next.responder().respond(HttpStatus.MISDIRECTED_REQUEST, body);
  }

  /**
   * The next controller that could know who answers the worker. A worker that is sent nowhere tries
   * the next one by itself; where that one does not answer workers, the one after it is named: each
   * attempt in vain costs a third of a worker's lease.
   */
  private Optional<NodeId> nextController(WorkerHeartbeat heartbeat) {
    Optional<NodeId> owner =
        view.shardOf(heartbeat.machine()).map(view.grants()::get).map(GrantRecord::owner);
    return others().stream()
        .filter(node -> !owner.equals(Optional.of(node)) && owners.answersWorkers(node))
        .findFirst();
  }

  /** The other controllers in the order in which a worker tries them after this one. */
  private List<NodeId> others() {
    List<NodeId> all = new ArrayList<>(peers.nodes());
    all.add(self);
    all.sort(Comparator.comparing(NodeId::value));
    Collections.rotate(all, -all.indexOf(self));
    return all.subList(1, all.size());
  }

  /** Where no other controller could answer, the worker may as well wait here. */
  private Duration holdLimit(Held next) {
    return nextController(next.heartbeat()).isPresent() ? HOLD_LIMIT : LONG_HOLD_LIMIT;
  }
}
