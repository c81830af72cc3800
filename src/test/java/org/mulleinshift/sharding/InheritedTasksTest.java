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
 * Guards against running a task twice after a new owner receives a delayed copy of a heartbeat that
 * lists the task, which has since been started on another machine. The machine's next heartbeat
 * does not list it. The owner reported the task as lost although only that machine had been
 * accounted for, and the leader started it on a third machine while it ran on the second.
 *
 * <p>Found by the random scenario "drawn-meetings", seed 2187: run-6/0 was reported RUNNING on
 * i-000008 at 90.527 s, from the copy, and LOST at 93.851 s, and ran on i-000001 and i-000009 at
 * 94.028 s.
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
    assertEquals(
        TaskPhase.STARTING.wireName(), phase(), "all machines are accounted for, so it is on none");
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
