package org.mulleinshift.sharding;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.HeartbeatVersion;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.WorkerCommand;

/**
 * The attempts that a worker may yet start by a response to its heartbeat which is still on its
 * way. Direct messages can overtake the response.
 *
 * <p>A worker has only one heartbeat in flight: when it sends the next one, it has received the
 * response to the one before or no longer accepts it. Reports in the worker's responses to direct
 * messages show nothing of that kind.
 */
final class StartsInResponse {
  private final Set<TaskAttempt> attempts = new HashSet<>();
  private HeartbeatVersion newestHeartbeat = HeartbeatVersion.NONE;

  /** Records the arrival of a heartbeat; late copies, which are older, change nothing. */
  void onHeartbeat(HeartbeatVersion version) {
    if (version.isAfter(newestHeartbeat)) {
      newestHeartbeat = version;
      attempts.clear();
    }
  }

  /** Records the commands in the response to the last heartbeat. */
  void onResponse(List<WorkerCommand> commands) {
    for (WorkerCommand command : commands) {
      if (command instanceof WorkerCommand.Run run) {
        attempts.add(new TaskAttempt(run.task(), run.attempt()));
      }
    }
  }

  /** Whether a response that starts the attempt may still be on its way. */
  boolean contains(TaskId task, Attempt attempt) {
    return attempts.contains(new TaskAttempt(task, attempt));
  }
}
