package org.mulleinshift.sharding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mulleinshift.sharding.ShardOwnerFixture.JOB;
import static org.mulleinshift.sharding.ShardOwnerFixture.MACHINE;
import static org.mulleinshift.sharding.ShardOwnerFixture.TOKEN;
import static org.mulleinshift.sharding.ShardOwnerFixture.token;

import org.junit.jupiter.api.Test;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.sharding.ShardOwnerFixture.Origin;

/**
 * Guards against a task being started by the response to a heartbeat, which direct commands have
 * overtaken: a cancelled task, or an attempt that the worker was told to forget.
 */
final class CommandsInFlightTest {
  private static final String STOPPED =
      "{\"piece\":\"run-1/0\",\"try\":1,\"phase\":\"exited\",\"cause\":\"halted\"}";

  private final ShardOwnerFixture fixture = new ShardOwnerFixture(MACHINE);

  @Test
  void stopOfTaskThatAResponseMayStillStartUsesHigherToken() throws MalformedMessageException {
    // Given a task started by a direct command, and one started by the response to a heartbeat.
    fixture.confirm(MACHINE);
    fixture.assign(1, 0, Origin.FRESH);
    assertEquals(
        1, fixture.directMessages().size(), "the first task is started by a direct command");
    fixture.assign(2, 1, Origin.FRESH);
    assertEquals(
        1, fixture.directMessages().size(), "the second waits while that one is in flight");
    String fetching = ShardOwnerFixture.reportedTask("run-1/0", "fetching");
    String response = fixture.sendHeartbeat(MACHINE, 3, TOKEN, fetching).orElseThrow();
    assertTrue(
        response.contains("run-1/1"), "and is started by the response to a heartbeat: " + response);

    // When the job is cancelled, and the worker carries out the direct command before it receives
    // the response to its heartbeat: it doesn't know the second task yet.
    fixture.cancel(JOB);
    fixture.answerLastDirectMessage(MACHINE, 4, fetching);

    // Then
    String stop = fixture.lastDirectMessage().body();
    assertTrue(stop.contains("halt") && stop.contains("run-1/1"), stop);
    assertTrue(token(stop) > token(response), "the worker must drop the response: " + stop);
  }

  /**
   * Has a direct command and the response to a heartbeat start the same task, whose end the worker
   * reports in its response to the direct command and the leader stores; returns the response to
   * the heartbeat, which is still on its way.
   */
  private String startTwiceAndEnd() throws MalformedMessageException {
    fixture.confirm(MACHINE);
    fixture.assign(1, 0, Origin.FRESH);
    String response = fixture.sendHeartbeat(MACHINE, 3, TOKEN, "").orElseThrow();
    assertTrue(response.contains("run-1/0"), response);
    fixture.answerLastDirectMessage(MACHINE, 4, STOPPED);
    fixture.unassign(2, 0);
    return response;
  }

  @Test
  void attemptThatAResponseMayStillStartIsNotForgotten() throws MalformedMessageException {
    startTwiceAndEnd();

    // When another task is started, which sends all commands that are due.
    fixture.assign(3, 1, Origin.FRESH);
    String direct = fixture.lastDirectMessage().body();
    assertTrue(direct.contains("run-1/1"), direct);
    assertFalse(direct.contains("forget"), direct);
    fixture.answerLastDirectMessage(MACHINE, 5, STOPPED);
    fixture.assign(4, 2, Origin.FRESH);

    // Then a report in the response to a direct command doesn't show that the other one arrived.
    assertFalse(fixture.lastDirectMessage().body().contains("forget"));
  }

  @Test
  void nextHeartbeatShowsThatTheResponseIsNoLongerOnItsWay() throws MalformedMessageException {
    startTwiceAndEnd();
    String next = fixture.sendHeartbeat(MACHINE, 5, TOKEN, STOPPED).orElseThrow();
    assertTrue(next.contains("forget"), next);
  }

  @Test
  void lateCopyOfAHeartbeatShowsNothing() throws MalformedMessageException {
    startTwiceAndEnd();
    fixture.assign(3, 1, Origin.FRESH);
    fixture.answerLastDirectMessage(MACHINE, 5, STOPPED);
    fixture.sendHeartbeat(MACHINE, 2, TOKEN, "");
    fixture.assign(4, 2, Origin.FRESH);
    assertFalse(fixture.lastDirectMessage().body().contains("forget"));
  }
}
