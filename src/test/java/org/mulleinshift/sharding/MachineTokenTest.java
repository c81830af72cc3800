package org.mulleinshift.sharding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mulleinshift.protocol.FencingToken;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Fencing tokens rise with every grant, and within a grant whenever commands may not have arrived.
 */
final class MachineTokenTest {
  private static final Revision GRANT = new Revision(7);
  private static final Revision NEXT_GRANT = new Revision(8);
  private static final MonotonicTime NOW = new MonotonicTime(1);
  private static final MonotonicTime LATER = new MonotonicTime(2);

  private final MachineToken token = new MachineToken(GRANT);

  @Test
  void raisedTokenIsHigherAndOfTheSameGrant() {
    FencingToken before = token.value();

    token.raise(NOW);

    assertTrue(token.value().compareTo(before) > 0, "a worker drops commands under the old token");
    assertTrue(
        MachineToken.belongsTo(token.value(), GRANT), "the token still belongs to the grant");
    assertTrue(
        MachineToken.first(NEXT_GRANT).compareTo(token.value()) > 0, "the next grant's is higher");
  }

  @Test
  void lowerTokenIsNotAdopted() {
    token.raise(NOW);
    FencingToken raised = token.value();

    token.adopt(MachineToken.first(GRANT));

    assertEquals(raised, token.value(), "tokens never decrease");
  }

  @Test
  void tokenIsUnacknowledgedFromFirstRaiseUntilNewestIsReported() {
    token.raise(NOW);
    FencingToken first = token.value();
    token.raise(LATER);

    assertEquals(Optional.of(NOW), token.unacknowledgedSince(), "since the first raise");
    token.onReported(first);
    assertFalse(token.unacknowledgedSince().isEmpty(), "the newest token was not received");
    token.onReported(token.value());
    assertTrue(token.unacknowledgedSince().isEmpty(), "the newest token was received");
  }
}
