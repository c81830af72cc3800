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
import org.mulleinshift.sharding.HeldHeartbeats.PendingHeartbeat;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpStatus;
import org.mulleinshift.transport.Responder;

/**
 * Routes heartbeats to the owner of the machine's shard: this controller responds if it is the
 * owner, and otherwise redirects the worker to the owner. A worker that arrives because its owner
 * did not respond to it is not redirected back until the owner has been shown to respond to
 * workers. Its heartbeat is held until then, until the shard has another owner, or until a time
 * limit.
 */
final class HeartbeatRouter {
  private static final String NO_REDIRECT = "{}";

  /** 1.5 s less than a worker waits for a response. */
  private static final Duration HOLD_LIMIT = Duration.ofMillis(2500);

  /** Applies if no other controller could respond to the worker either. */
  private static final Duration HOLD_LIMIT_WITHOUT_ALTERNATIVE = Duration.ofMillis(3500);

  private final EventLoop loop;
  private final NodeId self;
  private final ClusterView view;
  private final OwnedShards.Peers peers;
  private final Map<ShardId, ShardOwner> ownedShards;
  private final Consumer<Object> toLeader;
  private final WorkerProber prober;
  private final SuspicionReporter suspicions;
  private final OwnerResponsiveness responsiveness;
  private final HeldHeartbeats heldHeartbeats;

  /**
   * Creates the router of a controller.
   *
   * @param ownedShards live view of the shards that this controller owns
   */
  HeartbeatRouter(
      NodeId self,
      ClusterView view,
      ShardOwner.Context context,
      OwnedShards.Peers peers,
      Map<ShardId, ShardOwner> ownedShards,
      Consumer<Object> toLeader) {
    this.loop = context.loop();
    this.self = self;
    this.view = view;
    this.peers = peers;
    this.ownedShards = ownedShards;
    this.toLeader = toLeader;
    this.prober = new WorkerProber(context.workerClient());
    this.suspicions = new SuspicionReporter(loop, view, toLeader);
    this.responsiveness =
        new OwnerResponsiveness(view, peers.health(), context.workerTiming().heartbeatInterval());
    this.heldHeartbeats =
        new HeldHeartbeats(
            loop, this::tryRespond, this::maxHoldTime, this::redirectToNextController);
  }

  /**
   * Responds to the heartbeat or redirects its worker to the shard's owner, now or once it is known
   * which controller can respond.
   */
  void route(WorkerHeartbeat heartbeat, Responder responder) {
    PendingHeartbeat pending = new PendingHeartbeat(heartbeat, responder, loop.now());
    if (!tryRespond(pending)) {
      probeAndSuspectOwner(heartbeat);
      heldHeartbeats.hold(pending);
    }
  }

  /** Routes held heartbeats again, since shards or grants have changed. */
  void onControlKeysChanged() {
    heldHeartbeats.retryAll();
  }

  /** Responds if it is known which controller should; returns whether it responded. */
  private boolean tryRespond(PendingHeartbeat pending) {
    WorkerHeartbeat heartbeat = pending.heartbeat();
    Optional<ShardId> shard = view.shardOf(heartbeat.machine());
    if (shard.isEmpty()) {
      prober.probe(heartbeat, () -> reportUnknownWorker(heartbeat));
      pending.responder().respond(HttpStatus.MISDIRECTED_REQUEST, NO_REDIRECT);
      return true;
    }
    ShardOwner owner = ownedShards.get(shard.get());
    if (owner != null) {
      answerAsOwner(owner, pending);
      return true;
    }
    GrantRecord grant = view.grants().get(shard.get());
    if (grant == null) {
      pending.responder().respond(HttpStatus.MISDIRECTED_REQUEST, NO_REDIRECT);
      return true;
    }
    boolean redirect = mayRedirect(grant, pending);
    if (redirect) {
      String body = WorkerCodec.writeRedirect(grant.owner());
      pending.responder().respond(HttpStatus.MISDIRECTED_REQUEST, body);
    }
    return redirect;
  }

  private static void answerAsOwner(ShardOwner owner, PendingHeartbeat pending) {
    Optional<String> body = owner.onHeartbeat(pending.heartbeat());
    if (body.isPresent()) {
      pending.responder().respond(HttpStatus.OK, body.get());
    } else {
      String error = JobCodec.writeError("not entitled");
      pending.responder().respond(HttpStatus.SERVICE_UNAVAILABLE, error);
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

  /** Whether the worker may be redirected to the shard's owner. */
  private boolean mayRedirect(GrantRecord grant, PendingHeartbeat pending) {
    if (grant.owner().equals(self)) {
      // Granted to this controller, but not adopted yet.
      return false;
    }
    return wasAnsweredByOwner(grant, pending.heartbeat())
        ? responsiveness.isConfirmedSince(grant.owner(), pending.arrivedAt())
        : responsiveness.answersWorkers(grant.owner());
  }

  /**
   * Whether the worker has received a fencing token of this grant. Then the owner has responded to
   * it before, and it arrives here because the owner no longer does.
   */
  private static boolean wasAnsweredByOwner(GrantRecord grant, WorkerHeartbeat heartbeat) {
    return MachineToken.belongsTo(heartbeat.highestToken(), grant.revision());
  }

  /**
   * Suspects the owner of not responding to the worker, if a probe shows that the heartbeat is not
   * a delayed duplicate.
   */
  private void probeAndSuspectOwner(WorkerHeartbeat heartbeat) {
    Optional<ShardId> shard = view.shardOf(heartbeat.machine());
    Optional<GrantRecord> grant = shard.map(view.grants()::get);
    if (grant.isPresent() && !grant.get().owner().equals(self)) {
      prober.probe(heartbeat, () -> onOwnerSuspected(shard.get(), grant.get(), heartbeat));
    }
  }

  private void onOwnerSuspected(ShardId shard, GrantRecord grant, WorkerHeartbeat heartbeat) {
    if (wasAnsweredByOwner(grant, heartbeat)) {
      responsiveness.onWorkerUnanswered(grant.owner(), loop.now());
    }
    suspicions.report(shard, heartbeat.machine());
  }

  /** Sends the worker to another controller, since none is known to respond to it. */
  private void redirectToNextController(PendingHeartbeat pending) {
    String body =
        nextController(pending.heartbeat())
            .filter(node -> !node.equals(otherControllers().get(0)))
            .map(WorkerCodec::writeRedirect)
            .orElse(NO_REDIRECT);
    pending.responder().respond(HttpStatus.MISDIRECTED_REQUEST, body);
  }

  /**
   * The next controller that could route the worker's heartbeat. A worker that receives no redirect
   * tries the next controller by itself. If that one does not respond to workers, a later one is
   * named, since each unanswered attempt costs the worker a third of its lease.
   */
  private Optional<NodeId> nextController(WorkerHeartbeat heartbeat) {
    Optional<NodeId> owner =
        view.shardOf(heartbeat.machine()).map(view.grants()::get).map(GrantRecord::owner);
    return otherControllers().stream()
        .filter(node -> !owner.equals(Optional.of(node)) && responsiveness.answersWorkers(node))
        .findFirst();
  }

  /** The other controllers, in the order in which a worker tries them after this one. */
  private List<NodeId> otherControllers() {
    List<NodeId> all = new ArrayList<>(peers.nodes());
    all.add(self);
    all.sort(Comparator.comparing(NodeId::value));
    Collections.rotate(all, -all.indexOf(self));
    return all.subList(1, all.size());
  }

  /** Longer if no other controller could respond: then the worker loses nothing by waiting here. */
  private Duration maxHoldTime(PendingHeartbeat pending) {
    return nextController(pending.heartbeat()).isPresent()
        ? HOLD_LIMIT
        : HOLD_LIMIT_WITHOUT_ALTERNATIVE;
  }
}
