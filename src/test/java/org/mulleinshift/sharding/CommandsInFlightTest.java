package org.mulleinshift.sharding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mulleinshift.sharding.ShardOwnerFixture.JOB;
import static org.mulleinshift.sharding.ShardOwnerFixture.MACHINE;
import static org.mulleinshift.sharding.ShardOwnerFixture.TOKEN;

import org.junit.jupiter.api.Test;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.sharding.ShardOwnerFixture.Origin;
import org.mulleinshift.transport.HttpResponse;

/**
 * Guards against a cancelled task being started when a direct command overtakes the response to a
 * heartbeat that starts it.
 */
final class CommandsInFlightTest {
  private final ShardOwnerFixture fixture = new ShardOwnerFixture(MACHINE);

  private static long token(String body) throws MalformedMessageException {
    return Json.count(Json.parseObject(body), "baton", 0, Long.MAX_VALUE);
  }

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
    fixture
        .directMessages()
        .get(0)
        .reply()
        .accept(new HttpResponse(200, ShardOwnerFixture.heartbeat(MACHINE, 4, TOKEN, fetching)));

    // Then
    String stop = fixture.lastDirectMessage().body();
    assertTrue(stop.contains("halt") && stop.contains("run-1/1"), stop);
    assertTrue(token(stop) > token(response), "the worker must drop the response: " + stop);
  }
}
