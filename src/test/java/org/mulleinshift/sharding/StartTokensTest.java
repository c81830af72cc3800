package org.mulleinshift.sharding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mulleinshift.sharding.ShardOwnerFixture.MACHINE;
import static org.mulleinshift.sharding.ShardOwnerFixture.TOKEN;
import static org.mulleinshift.sharding.ShardOwnerFixture.token;

import org.junit.jupiter.api.Test;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.sharding.ShardOwnerFixture.Origin;

/** Guards against an attempt that a copy of its start command starts after it was forgotten. */
final class StartTokensTest {
  private static final String FAILED =
      "{\"piece\":\"run-1/0\",\"try\":1,\"phase\":\"exited\",\"cause\":\"error\"}";

  private final ShardOwnerFixture fixture = new ShardOwnerFixture(MACHINE);

  /** Has a direct message start a task, whose failure the leader stores. */
  private String startAndFail() throws MalformedMessageException {
    fixture.confirm(MACHINE);
    fixture.assign(1, 0, Origin.FRESH);
    String start = fixture.lastDirectMessage().body();
    fixture.answerLastDirectMessage(MACHINE, 3, FAILED);
    fixture.unassign(2, 0);
    return start;
  }

  @Test
  void workerRefusesACopyOfTheStartOnceItHasForgottenTheAttempt() throws MalformedMessageException {
    String start = startAndFail();

    String response = fixture.sendHeartbeat(MACHINE, 4, TOKEN, FAILED).orElseThrow();

    assertTrue(response.contains("forget"), response);
    assertTrue(token(response) > token(start), "the copy has a lower token: " + response);
  }

  @Test
  void directMessageUnderTheTokenOfTheStartCarriesNoForget() throws MalformedMessageException {
    startAndFail();
    fixture.assign(3, 1, Origin.FRESH);
    fixture.answerLastDirectMessage(MACHINE, 4, FAILED);

    String direct = fixture.lastDirectMessage().body();

    assertTrue(direct.contains("run-1/1"), direct);
    assertFalse(direct.contains("forget"), direct);
  }

  @Test
  void repeatedForgetNeedsNoFurtherToken() throws MalformedMessageException {
    startAndFail();
    String first = fixture.sendHeartbeat(MACHINE, 4, TOKEN, FAILED).orElseThrow();

    String second = fixture.sendHeartbeat(MACHINE, 5, TOKEN, FAILED).orElseThrow();

    assertTrue(second.contains("forget"), second);
    assertEquals(token(first), token(second));
  }

  @Test
  void raiseForAForgetDoesNotKeepWorkFromTheMachine() throws MalformedMessageException {
    startAndFail();
    fixture.sendHeartbeat(MACHINE, 4, TOKEN, FAILED);
    int before = fixture.directMessages().size();

    fixture.assign(3, 1, Origin.FRESH);

    assertEquals(before + 1, fixture.directMessages().size(), "the machine is not suspected");
    assertTrue(fixture.lastDirectMessage().body().contains("run-1/1"));
  }

  @Test
  void attemptWhoseStartIsNotKnownCountsAsStartedUnderTheCurrentToken()
      throws MalformedMessageException {
    fixture.confirm(MACHINE);
    fixture.assignNothing(1);

    String response = fixture.sendHeartbeat(MACHINE, 3, TOKEN, FAILED).orElseThrow();

    assertTrue(response.contains("forget"), response);
    assertTrue(token(response) > TOKEN, response);
  }
}
