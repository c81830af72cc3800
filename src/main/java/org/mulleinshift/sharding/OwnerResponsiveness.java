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
 * Whether an owner has been shown to answer workers since one of them left it unanswered. What an
 * owner reports of itself is late by the time that it takes to notice that heartbeats are missing:
 * until then it reports that all is well, and a worker that is sent back waits a third of its lease
 * for nothing.
 */
final class OwnerResponsiveness {
  /** A worker waits so long for an answer before it leaves. */
  private static final Duration WORKER_RESPONSE_TIMEOUT = Duration.ofSeconds(4);

  private final ClusterView view;
  private final OwnerHealth health;
  private final Duration heartbeatInterval;
  private final Map<NodeId, MonotonicTime> lastUnansweredAt = new HashMap<>();

  /**
   * No worker has left any owner.
   *
   * @param heartbeatInterval time between two heartbeats of a worker
   */
  OwnerResponsiveness(ClusterView view, OwnerHealth health, Duration heartbeatInterval) {
    this.view = view;
    this.health = health;
    this.heartbeatInterval = heartbeatInterval;
  }

  /** A worker is known to have left the owner without an answer, and arrived here then. */
  void onWorkerUnanswered(NodeId owner, MonotonicTime arrivedAt) {
    lastUnansweredAt.merge(owner, arrivedAt, (a, b) -> a.isAfter(b) ? a : b);
  }

  /** Whether a worker that was never answered by the owner may be sent there. */
  boolean answersWorkers(NodeId owner) {
    return health.answersWorkers(owner);
  }

  /**
   * Whether the owner's last report is from a time at which it would have noticed whatever kept it
   * from answering the worker that arrived here then, and any that arrived later.
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

  /** The longest time until an owner reports that its machines' heartbeats have stopped. */
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
