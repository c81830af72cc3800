package org.mulleinshift.membership;

import java.time.Duration;
import java.util.Optional;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/** A shard as far as it matters for who holds it. */
public interface AssignableShard {
  ShardId id();

  ZoneId zone();

  /** How many machines it has. */
  int size();

  Optional<NodeId> owner();

  /** Who held it last by its record: its machines report there. Advice only. */
  Optional<NodeId> lastOwner();

  /** For how long it has had no grant at all. */
  Duration unownedFor(MonotonicTime now);

  /** The next owner, while the grant is being stored. */
  Optional<NodeId> pendingOwner();

  /** For how long the owner has shown no sign of anything new that was sent to it. */
  Duration unacknowledgedFor(MonotonicTime now);
}
