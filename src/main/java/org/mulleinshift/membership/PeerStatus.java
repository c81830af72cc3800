package org.mulleinshift.membership;

import java.time.Duration;
import org.mulleinshift.protocol.NodeId;

/** What this controller knows about the health of each controller, including itself. */
public interface PeerStatus {
  /** Time since any message of the controller was last received; zero for this controller. */
  Duration timeSinceLastHeard(NodeId node);

  /** Whether the controller reaches its workers, as it last reported; reachable if unknown. */
  WorkerReachability.State workerReachability(NodeId node);

  /** Whether the controller reports that it has lost the store, which still serves others. */
  boolean storeLost(NodeId node);
}
