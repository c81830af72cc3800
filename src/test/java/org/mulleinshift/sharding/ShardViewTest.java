package org.mulleinshift.sharding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.sharding.ShardView.Grant;
import org.mulleinshift.transport.MonotonicTime;

/** Guards against a leader that falls back to a shard's earlier grant on an older answer. */
final class ShardViewTest {
  private static final MonotonicTime NOW = new MonotonicTime(0);
  private static final Grant FIRST = new Grant(new NodeId("node-0"), new Revision(10));
  private static final Grant SECOND = new Grant(new NodeId("node-1"), new Revision(20));

  private final ShardView shard = new ShardView(new ShardId("a-0"), new ZoneId("a"), NOW);

  private boolean apply(Optional<Grant> grant, long asOf) {
    return shard.applyGrant(grant, new Revision(asOf), NOW);
  }

  @Test
  void viewOlderThanACommittedGrantChangesNothing() {
    apply(Optional.of(FIRST), 10);
    apply(Optional.of(SECOND), 20);
    assertFalse(apply(Optional.of(FIRST), 19));
    assertEquals(Optional.of(SECOND), shard.grant());
  }

  @Test
  void viewWithoutAGrantThatIsOlderThanACommittedGrantChangesNothing() {
    apply(Optional.of(SECOND), 20);
    assertFalse(apply(Optional.empty(), 19));
    assertEquals(Optional.of(SECOND), shard.grant());
  }

  @Test
  void lateAnswerToATransactionDoesNotRestoreAGrantThatIsGone() {
    apply(Optional.of(FIRST), 10);
    apply(Optional.empty(), 25);
    assertFalse(apply(Optional.of(SECOND), 20));
    assertEquals(Optional.empty(), shard.grant());
  }

  @Test
  void newerViewEndsAGrant() {
    apply(Optional.of(SECOND), 20);
    assertTrue(apply(Optional.empty(), 21));
    assertEquals(Optional.empty(), shard.grant());
  }
}
