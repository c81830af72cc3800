package org.mulleinshift.sharding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.mulleinshift.sharding.ShardOwnerFixture.MACHINE;
import static org.mulleinshift.sharding.ShardOwnerFixture.TOKEN;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.peer.TaskStatus;
import org.mulleinshift.sharding.ShardOwnerFixture.Origin;

/**
 * A fresh owner hears a late copy of a report, which lists a task that has since been started on
 * another machine. The machine's next own report does not list it, and the owner told the leader
 * that it is lost, though only that one machine had been accounted for; the leader had it started
 * on a third while it ran on the second. Drawn meetings with seed 2187: "90.527 node-3 ShardStatus
 * run-6/0 RUNNING on i-000008" (a copy from before), "93.851 run-6/0 LOST", "94.028 ran_twice:
 * run-6/0 on i-000001 and i-000009".
 */
final class InheritedTasksTest {
  private static final String OTHER_MACHINE = "i-000002";
  private static final long EARLIER_TOKEN = TOKEN - (1L << 20);
  private static final String RUNNING = ShardOwnerFixture.reportedTask("run-1/0", "running");

  private final ShardOwnerFixture fixture = new ShardOwnerFixture(MACHINE, OTHER_MACHINE);

  @BeforeEach
  void assignInheritedTaskAndReceiveDelayedHeartbeat() throws MalformedMessageException {
    fixture.assign(1, 0, Origin.INHERITED);
    fixture.sendHeartbeat(MACHINE, 10, EARLIER_TOKEN, RUNNING);
  }

  private String phase() {
    Optional<TaskStatus> status =
        fixture.owner().statusReporter().periodicStatus().getTasks().stream()
            .filter(task -> task.getIndex() == 0)
            .findFirst();
    return status.orElseThrow().getPhase();
  }

  @Test
  void taskInDelayedHeartbeatIsNotLostBeforeAllMachinesAreAccountedFor()
      throws MalformedMessageException {
    fixture.sendHeartbeat(MACHINE, 20, EARLIER_TOKEN, "");
    fixture.sendHeartbeat(MACHINE, 21, TOKEN, "");
    assertEquals(TaskPhase.NEW.wireName(), phase());
    fixture.confirm(OTHER_MACHINE);
    assertEquals(TaskPhase.STARTING.wireName(), phase(), "it is on no machine");
  }

  @Test
  void taskInDelayedHeartbeatIsFoundWhereItRuns() throws MalformedMessageException {
    fixture.sendHeartbeat(OTHER_MACHINE, 1, TOKEN, RUNNING);
    fixture.sendHeartbeat(MACHINE, 20, TOKEN, "");
    assertEquals(TaskPhase.RUNNING.wireName(), phase());
  }

  @Test
  void taskReportedUnderCurrentTokenIsLostOnceMissing() throws MalformedMessageException {
    fixture.sendHeartbeat(MACHINE, 20, TOKEN, RUNNING);
    fixture.sendHeartbeat(MACHINE, 21, TOKEN, "");
    assertEquals(TaskPhase.LOST.wireName(), phase());
  }

  @Test
  void taskInDelayedHeartbeatIsNotLostWhenThatMachinesLeaseExpires()
      throws MalformedMessageException {
    fixture.runFor(Duration.ofSeconds(5));
    fixture.sendHeartbeat(OTHER_MACHINE, 1, EARLIER_TOKEN, "");
    fixture.runFor(Duration.ofSeconds(22));
    fixture.sendHeartbeat(OTHER_MACHINE, 2, EARLIER_TOKEN, "");
    fixture.owner().tick();
    assertEquals(List.of(), fixture.directMessages());
    assertEquals(TaskPhase.NEW.wireName(), phase());
  }
}
