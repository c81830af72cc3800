package org.mulleinshift.sharding;

import java.util.Optional;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.transport.MonotonicTime;

/** Whether other controllers respond to their workers, judged by their own reports. */
public interface OwnerHealth {
  /**
   * Whether workers may be redirected to the controller: it was heard from recently and does not
   * report that its workers' heartbeats have stopped.
   */
  boolean answersWorkers(NodeId controller);

  /** When the last report of the controller was received; empty if none was. */
  Optional<MonotonicTime> lastReportAt(NodeId controller);
}
