package org.mulleinshift.sharding;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

  /** The highest token of a message of this owner that may start the attempt; empty if none may. */
  Optional<FencingToken> find(TaskAttempt attempt) {
    return Optional.ofNullable(tokens.get(attempt));
  }

  /**
   * Applies a report: drops what is known of the attempts that the worker neither lists nor can
   * start any more.
   *
   * @param accountedFor the attempts that are listed, or that the worker may not have received yet
   * @param received the token that the worker has received
   * @return the highest token of a message that may start another attempt; empty if none may
   */
  Optional<FencingToken> onReport(Set<TaskAttempt> accountedFor, FencingToken received) {
    Optional<FencingToken> highest = Optional.empty();
    Iterator<Map.Entry<TaskAttempt, FencingToken>> starts = tokens.entrySet().iterator();
    while (starts.hasNext()) {
      Map.Entry<TaskAttempt, FencingToken> start = starts.next();
      if (accountedFor.contains(start.getKey())) {
        continue;
      }
      FencingToken token = start.getValue();
      if (token.compareTo(received) < 0) {
        starts.remove();
      } else if (highest.isEmpty() || token.compareTo(highest.get()) > 0) {
        highest = Optional.of(token);
      }
    }
    return highest;
  }

  /** Keeps only the starts of these attempts: the worker's new epoch rules out all others. */
  void retainOnly(Set<TaskAttempt> attempts) {
    tokens.keySet().retainAll(attempts);
  }
}
