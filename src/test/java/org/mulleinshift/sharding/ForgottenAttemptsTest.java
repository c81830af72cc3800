package org.mulleinshift.sharding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.protocol.WorkerCommand;
import org.mulleinshift.protocol.WorkerHeartbeat;

/** An attempt counts as listed again only after a report without it. */
final class ForgottenAttemptsTest {
  private static final TaskId TASK = new TaskId(new JobId("run-1"), 0);
  private static final Attempt ATTEMPT = new Attempt(1);
  private static final List<WorkerCommand> FORGET =
      List.of(new WorkerCommand.Forget(TASK, ATTEMPT));

  private final ForgottenAttempts attempts = new ForgottenAttempts();

  private static WorkerHeartbeat report(String tasks) throws MalformedMessageException {
    return WorkerCodec.parseHeartbeat(ShardOwnerFixture.heartbeat("i-000001", 1, 1, tasks));
  }

  private static WorkerHeartbeat reportOfTask(String phase) throws MalformedMessageException {
    return report(ShardOwnerFixture.reportedTask("run-1/0", phase));
  }

  @Test
  void attemptThatIsNotForgottenYetIsNotListedAgain() throws MalformedMessageException {
    attempts.onCommands(FORGET);
    assertEquals(List.of(), attempts.onHeartbeat(reportOfTask("exited")));
    attempts.onCommands(FORGET);
    assertEquals(List.of(), attempts.onHeartbeat(reportOfTask("exited")));
  }

  @Test
  void forgottenAttemptThatStartsAgainIsListedOnce() throws MalformedMessageException {
    attempts.onCommands(FORGET);
    assertEquals(List.of(), attempts.onHeartbeat(report("")));
    TaskAttempt attempt = new TaskAttempt(TASK, ATTEMPT);
    assertEquals(List.of(attempt), attempts.onHeartbeat(reportOfTask("running")));
    assertEquals(List.of(), attempts.onHeartbeat(reportOfTask("exited")));
  }
}
