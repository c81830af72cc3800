package org.mulleinshift.sharding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mulleinshift.sharding.ShardOwnerFixture.MACHINE;
import static org.mulleinshift.sharding.ShardOwnerFixture.TOKEN;
import static org.mulleinshift.sharding.ShardOwnerFixture.token;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.peer.TaskStatus;
import org.mulleinshift.sharding.ShardOwnerFixture.Origin;

/**
 * Guards against a task that runs twice because its machine has restarted within an epoch: the
 * worker no longer knows the task, and a copy of the command that started it would start it again.
 */
final class RestartedWorkerTest {
  private static final String RUNNING = ShardOwnerFixture.reportedTask("run-1/0", "running");
  private static final Duration LONGER_THAN_A_RESPONSE_IS_AWAITED = Duration.ofSeconds(5);

  private final ShardOwnerFixture fixture = new ShardOwnerFixture(MACHINE);

  private String phaseOfTask() {
    List<TaskStatus> tasks = fixture.owner().statusReporter().periodicStatus().getTasks();
    assertEquals(1, tasks.size(), "one task is assigned: " + tasks);
    return tasks.get(0).getPhase();
  }

  @BeforeEach
  void runTask() throws MalformedMessageException {
    fixture.confirm(MACHINE);
    fixture.assign(1, 0, Origin.FRESH);
    fixture.answerLastDirectMessage(MACHINE, 3, RUNNING);
    assertEquals("RUNNING", phaseOfTask());
  }

  @Test
  void missingTaskIsLostOnlyOnceTheWorkerRefusesCopiesOfItsStart()
      throws MalformedMessageException {
    String response = fixture.sendHeartbeat(MACHINE, 4, TOKEN, "").orElseThrow();
    assertEquals("RUNNING", phaseOfTask(), "a copy of its start may still be carried out");
    assertTrue(token(response) > TOKEN, response);

    fixture.sendHeartbeat(MACHINE, 5, token(response), "");
    assertEquals("LOST", phaseOfTask());
  }

  @Test
  void missingTaskThatACopyHasStartedAgainIsNotLost() throws MalformedMessageException {
    String response = fixture.sendHeartbeat(MACHINE, 4, TOKEN, "").orElseThrow();

    fixture.sendHeartbeat(MACHINE, 5, token(response), RUNNING);

    assertEquals("RUNNING", phaseOfTask());
  }

  @Test
  void endedAttemptThatTheWorkerNoLongerListsIsFenced() throws MalformedMessageException {
    fixture.unassign(2, 0);

    String response = fixture.sendHeartbeat(MACHINE, 4, TOKEN, "").orElseThrow();

    assertTrue(token(response) > TOKEN, response);
  }

  @Test
  void workerWithoutATokenGetsAHigherOneThoughItsReportLooksOld() throws MalformedMessageException {
    String response = fixture.sendHeartbeat(MACHINE, 1, 0, "").orElseThrow();

    assertTrue(token(response) > TOKEN, response);
  }

  @Test
  void workerWithoutATokenThatMayNotBeAnsweredGetsAHigherOneDirectly()
      throws MalformedMessageException {
    int before = fixture.directMessages().size();
    fixture.runFor(LONGER_THAN_A_RESPONSE_IS_AWAITED);

    Optional<String> response = fixture.sendHeartbeat(MACHINE, 1, 0, "");

    assertTrue(response.isEmpty(), "it may be a late copy");
    assertEquals(before + 1, fixture.directMessages().size());
    String direct = fixture.lastDirectMessage().body();
    assertTrue(token(direct) > TOKEN, direct);
    assertTrue(direct.contains("\"orders\":[]"), direct);
  }
}
