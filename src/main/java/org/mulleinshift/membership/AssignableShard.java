package org.mulleinshift.membership;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/** What {@link ShardAssigner} needs to know of a shard in order to choose its owner. */
public interface AssignableShard {
  /** The shard's id. */
  ShardId id();

  /** The zone of the shard's machines. */
  ZoneId zone();

  /** The number of machines in the shard. */
  int machineCount();

  /** The controller that the shard is granted to; empty if it has no grant. */
  Optional<NodeId> owner();

  /**
   * The controller that last owned the shard, to which its machines send their heartbeats. A hint
   * only: it may be out of date.
   */
  Optional<NodeId> lastOwner();

  /** Time for which the shard has had no grant; zero if it has one. */
  Duration unownedFor(MonotonicTime now);

  /** Controllers other than the owner that recently received heartbeats of the shard's machines. */
  Set<NodeId> recentlyContactedControllers();

  /** Time since the shard's grant last changed. */
  Duration grantUnchangedFor(MonotonicTime now);

  /** The next owner, while its grant is being written to the store; empty otherwise. */
  Optional<NodeId> pendingOwner();

  /**
   * Time since the owner last made progress in acknowledging what was sent to it. The call has a
   * side effect: if nothing is outstanding, it resets that time to {@code now}.
   */
  Duration unacknowledgedFor(MonotonicTime now);
}
