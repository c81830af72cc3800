package org.mulleinshift.controller;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.mulleinshift.membership.PeerFailureDetector;
import org.mulleinshift.membership.PeerStatus;
import org.mulleinshift.membership.StoreHealth;
import org.mulleinshift.membership.WorkerReachability;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.peer.Heartbeat;
import org.mulleinshift.sharding.OwnerHealth;
import org.mulleinshift.transport.MonotonicTime;

/** The health of all controllers: its own, and that of the others by their heartbeats. */
final class ControllerStatus implements PeerStatus, OwnerHealth {
  private final NodeId self;
  private final PeerFailureDetector failureDetector;
  private final StoreHealth storeHealth;
  private final Supplier<WorkerReachability.State> ownReachability;

  /**
   * Creates a view of the status of all controllers.
   *
   * @param self this controller
   * @param failureDetector provides the heartbeats of the others
   * @param storeHealth the state of this controller's connection to the store
   * @param ownReachability the state of this controller's connection to its workers
   */
  ControllerStatus(
      NodeId self,
      PeerFailureDetector failureDetector,
      StoreHealth storeHealth,
      Supplier<WorkerReachability.State> ownReachability) {
    this.self = self;
    this.failureDetector = failureDetector;
    this.storeHealth = storeHealth;
    this.ownReachability = ownReachability;
  }

  @Override
  public Duration timeSinceLastHeard(NodeId node) {
    return failureDetector.timeSinceLastHeard(node);
  }

  @Override
  public WorkerReachability.State workerReachability(NodeId node) {
    if (node.equals(self)) {
      return ownReachability.get();
    }
    return failureDetector
        .freshHeartbeat(node)
        .map(PeerFailureDetector::workerReachability)
        .orElse(WorkerReachability.State.REACHABLE);
  }

  @Override
  public boolean storeLost(NodeId node) {
    return node.equals(self)
        ? storeHealth.state() == StoreHealth.State.LOST
        : failureDetector.freshHeartbeat(node).filter(Heartbeat::getStoreLost).isPresent();
  }

  @Override
  public boolean answersWorkers(NodeId node) {
    return timeSinceLastHeard(node).compareTo(PeerFailureDetector.HEARTBEAT_TIMEOUT) < 0
        && workerReachability(node).compareTo(WorkerReachability.State.SUSPECTED) <= 0;
  }

  @Override
  public Optional<MonotonicTime> lastReportAt(NodeId node) {
    return failureDetector.lastHeartbeatAt(node);
  }
}
