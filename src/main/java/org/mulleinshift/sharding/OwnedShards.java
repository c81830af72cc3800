package org.mulleinshift.sharding;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.mulleinshift.membership.ControllerSession;
import org.mulleinshift.membership.WorkerReachability;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.model.ClusterView.GrantRecord;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.protocol.WorkerHeartbeat;
import org.mulleinshift.protocol.peer.ShardAssignment;
import org.mulleinshift.protocol.peer.ShardStatusAck;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpStatus;
import org.mulleinshift.transport.Responder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The shards that this controller owns: adopts and releases them as they are granted. */
public final class OwnedShards {
  private static final Logger LOG = LoggerFactory.getLogger(OwnedShards.class);
  private static final Duration TICK = Duration.ofMillis(250);
  private static final int MALFORMED_PER_LOG_LINE = 100;

  /**
   * What the owner of shards uses of the other controllers.
   *
   * @param nodes the other controllers
   * @param health whether they answer their workers, as far as is known
   * @param onReachabilityChange run when this controller's reachability by workers has changed
   */
  public record Peers(List<NodeId> nodes, OwnerHealth health, Runnable onReachabilityChange) {}

  private final EventLoop loop;
  private final NodeId self;
  private final ClusterView view;
  private final ControllerSession session;
  private final ShardOwner.Context context;
  private final Map<ShardId, ShardOwner> owned = new HashMap<>();
  private final WorkerReachability reachability;
  private final HeartbeatRouter router;
  private final StatusPublisher statuses;
  private long malformedHeartbeats;

  /**
   * A controller that owns no shard yet.
   *
   * @param self this controller
   * @param view control keys as last shown
   * @param session the lease under which it owns shards
   * @param context for each owned shard
   * @param peers the other controllers
   * @param toLeader sends a peer message to the leader
   */
  public OwnedShards(
      NodeId self,
      ClusterView view,
      ControllerSession session,
      ShardOwner.Context context,
      Peers peers,
      Consumer<Object> toLeader) {
    this.loop = context.loop();
    this.self = self;
    this.view = view;
    this.session = session;
    this.context = context;
    this.router = new HeartbeatRouter(self, view, context, peers, owned, toLeader);
    this.statuses = new StatusPublisher(loop, owned.values(), toLeader);
    this.reachability =
        new WorkerReachability(
            loop,
            context.workerTiming().heartbeatInterval(),
            new WorkerReachability.Context(
                context.workers(), this::count, this::addresses, peers.onReachabilityChange()));
  }

  /** Starts the timers. */
  public void start() {
    reachability.start();
    loop.after(TICK, this::tick);
    statuses.start();
  }

  private void tick() {
    loop.after(TICK, this::tick);
    if (!owned.isEmpty()) {
      session.logOwnershipChange();
    }
    owned.values().forEach(ShardOwner::tick);
  }

  /**
   * Shards that this node may no longer act for are not counted: their machines may have gone to
   * others.
   */
  private WorkerReachability.Count count() {
    int expected = 0;
    int unreachable = 0;
    for (ShardOwner owner : owned.values()) {
      if (owner.mayAct()) {
        expected += owner.expectedMachineCount();
        unreachable += owner.unreachableMachineCount();
      }
    }
    return new WorkerReachability.Count(expected, unreachable);
  }

  private List<InetSocketAddress> addresses() {
    return owned.values().stream().flatMap(owner -> owner.workerAddresses().stream()).toList();
  }

  /** Whether this controller is reached by its workers. */
  public WorkerReachability.State reachability() {
    return reachability.state();
  }

  /** Something that the leader should know has changed; several changes share a status. */
  public void reportStatusSoon() {
    statuses.publishSoon();
  }

  /** The store shows other grants or shards: adopts and releases shards accordingly. */
  public void onControlChange() {
    Map<ShardId, Revision> verified = session.verifiedGrants();
    releaseLost(verified);
    for (Map.Entry<ShardId, GrantRecord> entry : view.grants().entrySet()) {
      ShardId shard = entry.getKey();
      GrantRecord grant = entry.getValue();
      // Both the read and the watch must show the grant: the watch then also shows the shard's
      // machines as of the grant or later.
      if (grant.owner().equals(self)
          && grant.revision().equals(verified.get(shard))
          && !owned.containsKey(shard)) {
        adopt(shard, grant.revision());
      }
    }
    owned.forEach(
        (shard, owner) -> Optional.ofNullable(view.shards().get(shard)).ifPresent(owner::onRecord));
    router.onControlChange();
  }

  private void releaseLost(Map<ShardId, Revision> verified) {
    owned
        .entrySet()
        .removeIf(
            entry -> {
              Revision grant = entry.getValue().grant();
              boolean lost = !grant.equals(verified.get(entry.getKey()));
              if (lost) {
                LOG.info("shard released, shard={} grant={}", entry.getKey(), grant);
              }
              return lost;
            });
  }

  private void adopt(ShardId shard, Revision grant) {
    LOG.info("shard adopted, shard={} grant={}", shard, grant);
    owned.put(
        shard, new ShardOwner(context, shard, grant, () -> session.isValidOwner(shard, grant)));
  }

  /** The leader changed the assignments of a shard; left out if it is not owned here. */
  public void onAssignment(ShardAssignment assignment) {
    find(assignment.getShard()).ifPresent(owner -> owner.onAssignment(assignment));
  }

  /** The leader acknowledged a shard's status. */
  public void onStatusAck(ShardStatusAck ack) {
    find(ack.getShard()).ifPresent(owner -> owner.onStatusAck(ack));
  }

  private Optional<ShardOwner> find(String shard) {
    return Optional.ofNullable(owned.get(new ShardId(shard)));
  }

  /** The process was paused until now: heartbeats missed meanwhile prove nothing. */
  public void onProcessPause() {
    reachability.onProcessPause();
    owned.values().forEach(ShardOwner::onProcessPause);
  }

  /** A job was cancelled: its tasks stop without waiting for the leader. */
  public void onCancelled(JobId job) {
    owned.values().forEach(owner -> owner.onCancelled(job));
  }

  /** A worker's heartbeat came: it is answered, or sent to the owner of its shard. */
  public void onHeartbeat(String body, Responder responder) {
    WorkerHeartbeat heartbeat;
    try {
      heartbeat = WorkerCodec.parseHeartbeat(body);
    } catch (MalformedMessageException e) {
      if (malformedHeartbeats++ % MALFORMED_PER_LOG_LINE == 0) {
        LOG.warn("malformed heartbeat, error={} malformed={}", e.getMessage(), malformedHeartbeats);
      }
      responder.respond(HttpStatus.BAD_REQUEST, JobCodec.writeError(e.getMessage()));
      return;
    }
    reachability.onHeartbeat();
    router.route(heartbeat, responder);
  }
}
