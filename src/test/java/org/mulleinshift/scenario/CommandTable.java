package org.mulleinshift.scenario;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Commands by their words. Faults are told apart, as some checks begin only after the last. */
final class CommandTable {
  /** Carries out a line. */
  @FunctionalInterface
  interface Command {
    /** Carries out a line, whose first word is the command's. */
    void run(ScenarioLine line);
  }

  private final Map<String, Command> commands = new HashMap<>();
  private final Set<String> faults = new HashSet<>();

  /** Adds a command that is no fault, as users and operators may send it at any time. */
  void add(String word, Command command) {
    if (commands.put(word, command) != null) {
      throw new IllegalStateException("two commands " + word);
    }
  }

  /** Adds a command that is a fault for as long as the sum of its numbers, in seconds. */
  void addFault(String word, Command command) {
    add(word, command);
    faults.add(word);
  }

  boolean isFault(ScenarioLine line) {
    return faults.contains(line.word(0));
  }

  /**
   * Carries out a line by its first word.
   *
   * @throws IllegalArgumentException if there is no such command
   */
  void run(ScenarioLine line) {
    check(line);
    commands.get(line.word(0)).run(line);
  }

  /** Throws an {@link IllegalArgumentException} if there is no command for the line. */
  void check(ScenarioLine line) {
    if (!commands.containsKey(line.word(0))) {
      throw line.unknownLine();
    }
  }
}
