package org.mulleinshift.membership;

import java.time.Duration;
import org.mulleinshift.protocol.NodeId;

/** What this controller knows of the health of each controller, itself included. */
public interface PeerStatus {
  /** Time since anything of the controller was last heard. */
  Duration timeSinceLastHeard(NodeId node);

  /** Whether the controller reaches its workers, by its own last heartbeat. */
  WorkerReachability.State workerReachability(NodeId node);

  /** Whether the controller has lost the store while others are served. */
  boolean storeLost(NodeId node);
}
