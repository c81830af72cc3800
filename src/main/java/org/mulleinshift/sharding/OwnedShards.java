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

/** The shards that this controller owns. Adopts and releases them as grants change. */
public final class OwnedShards {
  private static final Logger LOG = LoggerFactory.getLogger(OwnedShards.class);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(250);
  private static final Duration COUNTS_LOG_INTERVAL = Duration.ofMinutes(1);
  private static final int MALFORMED_PER_LOG_LINE = 100;

  /**
   * The other controllers, as far as the owner of shards depends on them.
   *
   * @param nodes the ids of the other controllers
   * @param health whether they respond to their workers, as far as is known
   * @param onReachabilityChange run when the reachability of this controller by its workers changes
   */
  public record Peers(List<NodeId> nodes, OwnerHealth health, Runnable onReachabilityChange) {}

  private final EventLoop loop;
  private final NodeId self;
  private final ClusterView view;
  private final ControllerSession session;
  private final ShardOwner.Context context;
  private final Map<ShardId, ShardOwner> owners = new HashMap<>();
  private final WorkerReachability reachability;
  private final HeartbeatRouter router;
  private final StatusPublisher statusPublisher;
  private long malformedHeartbeats;

  /**
   * Creates an empty set: no shard is owned yet.
   *
   * @param self this controller
   * @param view leader, sessions, grants and shards as last seen in the store
   * @param session the session whose lease the grants are bound to
   * @param context dependencies of each owned shard
   * @param peers the other controllers
   * @param toLeader sends a message to the leader
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
    this.router = new HeartbeatRouter(self, view, context, peers, owners, toLeader);
    this.statusPublisher = new StatusPublisher(loop, owners.values(), toLeader);
    this.reachability =
        new WorkerReachability(
            loop,
            context.workerTiming().heartbeatInterval(),
            new WorkerReachability.Context(
                context.workerClient(),
                this::countMachines,
                this::workerAddresses,
                peers.onReachabilityChange()));
  }

  /** Starts the periodic checks and status reports. */
  public void start() {
    reachability.start();
    loop.after(TICK_INTERVAL, this::tick);
    loop.after(COUNTS_LOG_INTERVAL, this::logCommandCounts);
    statusPublisher.start();
  }

  private void logCommandCounts() {
    loop.after(COUNTS_LOG_INTERVAL, this::logCommandCounts);
    owners.values().forEach(ShardOwner::logCommandCounts);
  }

  private void tick() {
    loop.after(TICK_INTERVAL, this::tick);
    if (!owners.isEmpty()) {
      session.logLeaseValidityChange();
    }
    owners.values().forEach(ShardOwner::tick);
  }

  /**
   * Counts the machines that should send heartbeats here. Leaves out shards that this node may no
   * longer act for: their machines may have moved to other controllers.
   */
  private WorkerReachability.MachineCounts countMachines() {
    int expected = 0;
    int unreachable = 0;
    for (ShardOwner owner : owners.values()) {
      if (owner.mayAct()) {
        expected += owner.expectedMachineCount();
        unreachable += owner.unreachableMachineCount();
      }
    }
    return new WorkerReachability.MachineCounts(expected, unreachable);
  }

  private List<InetSocketAddress> workerAddresses() {
    return owners.values().stream().flatMap(owner -> owner.workerAddresses().stream()).toList();
  }

  /** Returns how well this controller is reached by its workers. */
  public WorkerReachability.State reachability() {
    return reachability.state();
  }

  /** Reports changed shards to the leader after a short delay, so that changes share a status. */
  public void reportStatusSoon() {
    statusPublisher.publishSoon();
  }

  /** Adopts and releases shards after grants or shards have changed in the store. */
  public void onControlKeysChanged() {
    Map<ShardId, Revision> verified = session.verifiedGrants();
    releaseLostShards(verified);
    for (Map.Entry<ShardId, GrantRecord> entry : view.grants().entrySet()) {
      ShardId shard = entry.getKey();
      GrantRecord grant = entry.getValue();
      // The grant must be both read from the store and seen by the watch: then the watch also shows
      // the shard's machines as of the grant or later.
      if (grant.owner().equals(self)
          && grant.revision().equals(verified.get(shard))
          && !owners.containsKey(shard)) {
        adopt(shard, grant.revision());
      }
    }
    owners.forEach(
        (shard, owner) -> Optional.ofNullable(view.shards().get(shard)).ifPresent(owner::onRecord));
    router.onControlKeysChanged();
  }

  private void releaseLostShards(Map<ShardId, Revision> verified) {
    owners
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
    owners.put(
        shard, new ShardOwner(context, shard, grant, () -> session.isValidOwner(shard, grant)));
  }

  /** Applies the leader's changes of a shard's assignments; ignored if it is not owned here. */
  public void onAssignment(ShardAssignment assignment) {
    find(assignment.getShard()).ifPresent(owner -> owner.onAssignment(assignment));
  }

  /** Handles the leader's acknowledgement of a status; ignored if the shard is not owned here. */
  public void onStatusAck(ShardStatusAck ack) {
    find(ack.getShard()).ifPresent(owner -> owner.onStatusAck(ack));
  }

  private Optional<ShardOwner> find(String shard) {
    return Optional.ofNullable(owners.get(new ShardId(shard)));
  }

  /** Called after the process was paused: heartbeats missed in the meantime show no failure. */
  public void onProcessPause() {
    reachability.onProcessPause();
    owners.values().forEach(ShardOwner::onProcessPause);
  }

  /** Stops the tasks of a cancelled job without waiting for the leader. */
  public void onCancelled(JobId job) {
    owners.values().forEach(owner -> owner.onCancelled(job));
  }

  /**
   * Responds to a worker's heartbeat or redirects the worker to the owner of its shard. Responds
   * with status 400 if the heartbeat is malformed.
   */
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
