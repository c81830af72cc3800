package org.mulleinshift.scenario;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Commands by their first words. Faults are marked, because some checks begin only after the last
 * fault.
 */
final class CommandTable {
  /** Executes a line. */
  @FunctionalInterface
  interface Command {
    /** Executes a line whose first word names the command. */
    void run(ScenarioLine line);
  }

  private final Map<String, Command> commands = new HashMap<>();
  private final Set<String> faults = new HashSet<>();

  /** Adds a command that is not a fault: users and operators may do this at any time. */
  void add(String word, Command command) {
    if (commands.put(word, command) != null) {
      throw new IllegalStateException("duplicate command: " + word);
    }
  }

  /** Adds a command that causes a fault, which lasts for the sum of its numbers in seconds. */
  void addFault(String word, Command command) {
    add(word, command);
    faults.add(word);
  }

  boolean isFault(ScenarioLine line) {
    return faults.contains(line.word(0));
  }

  /**
   * Executes the command that the first word of the line names.
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
