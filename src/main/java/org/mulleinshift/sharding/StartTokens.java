package org.mulleinshift.sharding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mulleinshift.protocol.FencingToken;
import org.mulleinshift.protocol.WorkerCommand;

/**
 * For each attempt that one worker may know, the highest token of a message that may start it. A
 * message can arrive again long after it was answered, so the worker is safe from it only once it
 * has received a higher token. While it knows the attempt, the message has no effect either.
 */
final class StartTokens {
  private final Map<TaskAttempt, FencingToken> tokens = new HashMap<>();

  /** Records the commands in a message that is sent to the worker under the token. */
  void onCommands(List<WorkerCommand> commands, FencingToken token) {
    for (WorkerCommand command : commands) {
      if (command instanceof WorkerCommand.Run run) {
        tokens.put(new TaskAttempt(run.task(), run.attempt()), token);
      }
    }
  }

  /**
   * Whether a worker that has received a token drops every message that may start the attempt.
   *
   * @param received the token that the worker has received, or receives with the next message
   * @param current the machine's token, under which the attempt may have been started if nothing is
   *     known of its start
   */
  boolean isFenced(TaskAttempt attempt, FencingToken received, FencingToken current) {
    return tokens.computeIfAbsent(attempt, unknown -> current).compareTo(received) < 0;
  }

  /** Keeps only the starts of these attempts. */
  void retainOnly(Set<TaskAttempt> attempts) {
    tokens.keySet().retainAll(attempts);
  }
}
