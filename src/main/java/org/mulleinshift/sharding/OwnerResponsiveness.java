package org.mulleinshift.sharding;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.membership.WorkerReachability;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.model.ClusterView.ShardRecord;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Tells whether an owner has been shown to respond to workers since one of them got no response. An
 * owner's report on itself lags by the time that it takes to detect missing heartbeats: until then
 * it reports itself as healthy, and a worker that is redirected back to it loses a third of its
 * lease waiting for a response.
 */
final class OwnerResponsiveness {
  /** How long a worker waits for a response before it tries another controller. */
  private static final Duration WORKER_RESPONSE_TIMEOUT = Duration.ofSeconds(4);

  private final ClusterView view;
  private final OwnerHealth health;
  private final Duration heartbeatInterval;
  private final Map<NodeId, MonotonicTime> lastUnansweredAt = new HashMap<>();

  /**
   * Creates a tracker that knows of no unanswered worker.
   *
   * @param heartbeatInterval the time between two heartbeats of a worker
   */
  OwnerResponsiveness(ClusterView view, OwnerHealth health, Duration heartbeatInterval) {
    this.view = view;
    this.health = health;
    this.heartbeatInterval = heartbeatInterval;
  }

  /** Records that the owner did not respond to a worker, which arrived here at that time. */
  void onWorkerUnanswered(NodeId owner, MonotonicTime arrivedAt) {
    lastUnansweredAt.merge(owner, arrivedAt, (a, b) -> a.isAfter(b) ? a : b);
  }

  /**
   * Whether a worker that has received no response under the owner's grant may be redirected there.
   */
  boolean answersWorkers(NodeId owner) {
    return health.answersWorkers(owner);
  }

  /**
   * Whether the owner reports itself as healthy, and its last report is late enough to reflect any
   * failure that kept it from responding to the worker that arrived here at that time, and to any
   * worker known to have arrived later.
   */
  boolean isConfirmedSince(NodeId owner, MonotonicTime arrivedAt) {
    if (!health.answersWorkers(owner)) {
      return false;
    }
    MonotonicTime lastUnanswered = lastUnansweredAt.getOrDefault(owner, arrivedAt);
    MonotonicTime latest = lastUnanswered.isAfter(arrivedAt) ? lastUnanswered : arrivedAt;
    MonotonicTime conclusiveAt = latest.minus(WORKER_RESPONSE_TIMEOUT).plus(detectionTime(owner));
    Optional<MonotonicTime> reportAt = health.lastReportAt(owner);
    return reportAt.isPresent() && reportAt.get().compareTo(conclusiveAt) >= 0;
  }

  /** The longest time after which an owner detects that its machines' heartbeats have stopped. */
  private Duration detectionTime(NodeId owner) {
    Duration oneMachine = LivenessMonitor.suspectedAfter(heartbeatInterval);
    Duration allMachines =
        WorkerReachability.detectionTime(machinesOf(owner), heartbeatInterval).orElse(oneMachine);
    return (allMachines.compareTo(oneMachine) < 0 ? allMachines : oneMachine)
        .plus(WorkerReachability.CHECK_INTERVAL);
  }

  private int machinesOf(NodeId owner) {
    int machines = 0;
    for (Map.Entry<ShardId, ClusterView.GrantRecord> grant : view.grants().entrySet()) {
      ShardRecord shard = view.shards().get(grant.getKey());
      if (shard != null && grant.getValue().owner().equals(owner)) {
        machines += shard.machines().size();
      }
    }
    return machines;
  }
}
