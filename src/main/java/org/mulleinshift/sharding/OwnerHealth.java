package org.mulleinshift.sharding;

import java.util.Optional;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.transport.MonotonicTime;

/** Whether other controllers answer their workers, by what they report of themselves. */
public interface OwnerHealth {
  /** Whether workers may be sent to the controller: it is heard and says that it is reached. */
  boolean answersWorkers(NodeId controller);

  /** When the controller last reported whether it is reached; empty if it never did. */
  Optional<MonotonicTime> lastReportAt(NodeId controller);
}
