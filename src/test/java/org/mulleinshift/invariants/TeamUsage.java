package org.mulleinshift.invariants;

import java.util.HashMap;
import java.util.Map;

/** Processors that the tasks of each team use; shared by the checkers of several cells. */
public final class TeamUsage {
  private final Map<String, Double> cpus = new HashMap<>();

  /**
   * Adds the processors of a task that started or ended.
   *
   * @param amount processors, negative for a task that ended
   */
  synchronized void add(String team, double amount) {
    cpus.merge(team, amount, Double::sum);
  }

  synchronized double of(String team) {
    return cpus.getOrDefault(team, 0.0);
  }
}
