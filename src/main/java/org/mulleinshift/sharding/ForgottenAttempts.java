package org.mulleinshift.sharding;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mulleinshift.protocol.WorkerCommand;
import org.mulleinshift.protocol.WorkerHeartbeat;

/**
 * The attempts that one worker was told to forget most recently. A worker that lists one of them
 * again after it had forgotten it has carried out an old command to start it.
 */
final class ForgottenAttempts {
  private static final int MAX_REMEMBERED = 8;

  private enum Progress {
    TOLD,
    FORGOTTEN
  }

  private final Map<TaskAttempt, Progress> attempts = new LinkedHashMap<>();

  /** Records the commands in a message to the worker. */
  void onCommands(List<WorkerCommand> commands) {
    for (WorkerCommand command : commands) {
      if (command instanceof WorkerCommand.Forget forget) {
        attempts.putIfAbsent(new TaskAttempt(forget.task(), forget.attempt()), Progress.TOLD);
      }
    }
    while (attempts.size() > MAX_REMEMBERED) {
      attempts.remove(attempts.keySet().iterator().next());
    }
  }

  /** Applies a newer heartbeat; returns the attempts that it lists although they were forgotten. */
  List<TaskAttempt> onHeartbeat(WorkerHeartbeat heartbeat) {
    if (attempts.isEmpty()) {
      return List.of();
    }
    Set<TaskAttempt> listed = new HashSet<>();
    heartbeat.tasks().forEach(entry -> listed.add(TaskAttempt.of(entry)));
    List<TaskAttempt> listedAgain = new ArrayList<>();
    for (Map.Entry<TaskAttempt, Progress> entry : attempts.entrySet()) {
      boolean isListed = listed.contains(entry.getKey());
      if (isListed && entry.getValue() == Progress.FORGOTTEN) {
        listedAgain.add(entry.getKey());
      }
      entry.setValue(isListed ? Progress.TOLD : Progress.FORGOTTEN);
    }
    return listedAgain;
  }
}
