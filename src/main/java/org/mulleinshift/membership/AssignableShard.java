package org.mulleinshift.membership;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/** A shard as far as it matters for who owns it. */
public interface AssignableShard {
  /** The shard's id. */
  ShardId id();

  /** The zone of its machines. */
  ZoneId zone();

  /** How many machines it has. */
  int machineCount();

  /** The controller that the shard is granted to; empty without a grant. */
  Optional<NodeId> owner();

  /** The last owner by the stored record: its machines report there. Advice only. */
  Optional<NodeId> lastOwner();

  /** For how long it has had no grant at all. */
  Duration unownedFor(MonotonicTime now);

  /** Controllers, other than its owner, that its machines have lately reported to. */
  Set<NodeId> recentlyContactedControllers();

  /** For how long it has had its present grant, or none. */
  Duration grantUnchangedFor(MonotonicTime now);

  /** The next owner, while the grant is being stored. */
  Optional<NodeId> pendingOwner();

  /**
   * For how long the owner has not acknowledged anything new that was sent to it. Asking has an
   * effect: that nothing is outstanding is noted as of {@code now}.
   */
  Duration unacknowledgedFor(MonotonicTime now);
}
