package org.mulleinshift.sharding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mulleinshift.sharding.ShardOwnerFixture.MACHINE;
import static org.mulleinshift.sharding.ShardOwnerFixture.TOKEN;
import static org.mulleinshift.sharding.ShardOwnerFixture.WORKER_LEASE;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.peer.TaskStatus;
import org.mulleinshift.sharding.ShardOwnerFixture.Origin;

/** How an owner responds to its workers, and when it starts, forgets and loses tasks. */
final class ShardOwnerTest {
  private static final String OTHER_MACHINE = "i-000002";
  private static final Duration PAST_WORKER_LEASE = WORKER_LEASE.plusSeconds(1);

  @Test
  void heartbeatWithTheTokenOfALaterGrantIsNotAnswered() throws MalformedMessageException {
    ShardOwnerFixture fixture = new ShardOwnerFixture(MACHINE);
    long laterToken = MachineToken.first(new Revision(8)).value();

    Optional<String> response = fixture.sendHeartbeat(MACHINE, 1, laterToken, "");

    assertTrue(response.isEmpty(), "the worker would drop a 200 with a lower token: " + response);
  }

  @Test
  void inheritedTaskStartsOnlyOnceAllMachinesAreAccountedFor() throws MalformedMessageException {
    // Given
    ShardOwnerFixture fixture = new ShardOwnerFixture(MACHINE, OTHER_MACHINE);
    fixture.confirm(MACHINE);

    // When
    fixture.assign(1, 0, Origin.INHERITED);

    // Then
    assertEquals(List.of(), fixture.directMessages(), "it may run on the other machine");
    fixture.confirm(OTHER_MACHINE);
    assertEquals(1, fixture.directMessages().size(), "it is on no machine");
  }

  @Test
  void freshTaskStartsBeforeAllMachinesAreAccountedFor() throws MalformedMessageException {
    ShardOwnerFixture fixture = new ShardOwnerFixture(MACHINE, OTHER_MACHINE);
    fixture.confirm(MACHINE);

    fixture.assign(1, 0, Origin.FRESH);

    assertEquals(1, fixture.directMessages().size(), "no earlier owner can have placed it");
  }

  @Test
  void endedAttemptIsForgottenOnlyOnceTheLeaderNoLongerAssignsIt()
      throws MalformedMessageException {
    // Given
    ShardOwnerFixture fixture = new ShardOwnerFixture(MACHINE);
    fixture.confirm(MACHINE);
    String exited = ShardOwnerFixture.reportedTask("run-1/0", "exited");

    // When
    String beforeAssignment = fixture.sendHeartbeat(MACHINE, 3, TOKEN, exited).orElseThrow();
    fixture.assign(1, 0, Origin.INHERITED);
    String whileAssigned = fixture.sendHeartbeat(MACHINE, 4, TOKEN, exited).orElseThrow();
    fixture.unassign(2, 0);
    String afterRetraction = fixture.sendHeartbeat(MACHINE, 5, TOKEN, exited).orElseThrow();

    // Then
    assertFalse(
        beforeAssignment.contains("forget"), "assignments are unknown: " + beforeAssignment);
    assertFalse(
        whileAssigned.contains("forget"), "its completion is not stored yet: " + whileAssigned);
    assertTrue(afterRetraction.contains("forget"), "its completion is stored: " + afterRetraction);
  }

  @Test
  void stopCommandsComeFirst() throws MalformedMessageException {
    // Given
    ShardOwnerFixture fixture = new ShardOwnerFixture(MACHINE);
    fixture.confirm(MACHINE);
    fixture.assignNothing(1);

    // When a worker reports an exited and a running attempt, neither of which is assigned
    String tasks =
        ShardOwnerFixture.reportedTask("run-2/0", "exited")
            + ","
            + ShardOwnerFixture.reportedTask("run-3/0", "running");
    String response = fixture.sendHeartbeat(MACHINE, 3, TOKEN, tasks).orElseThrow();

    // Then
    int stop = response.indexOf("halt");
    int forget = response.indexOf("forget");
    assertTrue(stop >= 0 && stop < forget, "the stop command must come first: " + response);
  }

  @Test
  void taskCountsAsLostOnlyOnceTheWorkerLeaseHasExpired() throws MalformedMessageException {
    // Given
    ShardOwnerFixture fixture = new ShardOwnerFixture(MACHINE);
    fixture.confirm(MACHINE);
    fixture.assign(1, 0, Origin.FRESH);

    // When
    fixture.runFor(WORKER_LEASE);
    fixture.owner().tick();
    String atLeaseEnd = phaseOfOnlyTask(fixture);
    fixture.runFor(PAST_WORKER_LEASE.minus(WORKER_LEASE));
    fixture.owner().tick();

    // Then
    assertEquals("STARTING", atLeaseEnd, "by the worker's clock the lease may still be valid");
    assertEquals("LOST", phaseOfOnlyTask(fixture), "nothing runs on the machine any more");
  }

  private static String phaseOfOnlyTask(ShardOwnerFixture fixture) {
    List<TaskStatus> tasks = fixture.owner().statusReporter().periodicStatus().getTasks();
    assertEquals(1, tasks.size(), "one task is assigned: " + tasks);
    return tasks.get(0).getPhase();
  }
}
