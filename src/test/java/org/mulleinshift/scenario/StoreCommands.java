package org.mulleinshift.scenario;

import static org.mulleinshift.scenario.ScenarioLine.THIRD;

import java.util.List;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.simulation.SimulatedCluster;
import org.mulleinshift.simulation.SimulatedStore;
import org.mulleinshift.simulation.StoreFaults;

/** The commands {@code state ...}: faults and changes of the key-value store. */
final class StoreCommands {
  private final SimulatedCluster cluster;
  private final SimulatedStore store;
  private final CommandTable commands = new CommandTable();

  /**
   * Adds the commands to the table.
   *
   * @param limits the limits at the start, with those that the settings announce for later
   */
  StoreCommands(ScenarioContext context, CommandTable table, PlatformSettings.StoreLimits limits) {
    this.cluster = context.cluster();
    this.store = cluster.store();
    addConnectionFaults(store.faults());
    addTransactionFaults(store.faults());
    commands.add("outage", line -> store.outage(line.number(1)));
    commands.add("compact", line -> store.compact());
    commands.add("fall", line -> store.limits(limits.next().orElseThrow()));
    commands.add("limits", line -> store.limits(ScenarioSettings.storeLimits(line.fields(1))));
    commands.add("rewrite", this::rewrite);
    commands.add("flood", line -> store.flood(line.word(1), line.integer(2), line.integer(THIRD)));
    table.addFault("state", line -> commands.run(line.skip(1)));
  }

  private void addConnectionFaults(StoreFaults faults) {
    commands.add("refuse", line -> faults.rejectRequests(host(line), line.number(2)));
    commands.add("mute", line -> faults.loseTransactionResponses(host(line), line.number(2)));
    commands.add("hold-watches", line -> faults.withholdWatchResponses(host(line), line.number(2)));
    commands.add("hold-news", line -> faults.withholdChangeResponses(host(line), line.number(2)));
    commands.add(
        "late-news",
        line -> faults.delayChangeResponses(line.word(1), line.number(2), line.number(THIRD)));
    commands.add(
        "late-reads",
        line -> faults.delayRangeReads(line.word(1), line.number(2), line.number(THIRD)));
    commands.add("late", line -> faults.slow(line.number(1), line.number(2)));
  }

  private void addTransactionFaults(StoreFaults faults) {
    commands.add(
        "late-writes",
        line -> faults.delayTransactions(line.number(1), line.number(2), line.wordOr(THIRD, "")));
    commands.add(
        "lost-answers",
        line -> faults.loseResponses(line.number(1), line.number(2), line.wordOr(THIRD, "")));
  }

  private String host(ScenarioLine line) {
    return cluster.hostOf(line.word(1));
  }

  /**
   * {@code rewrite KEY FIELD VALUE}: changes a field of a stored value; a key that ends with a star
   * stands for all keys with that prefix.
   */
  private void rewrite(ScenarioLine line) {
    String key = line.word(1);
    List<String> keys = List.of(key);
    if (key.endsWith("*")) {
      String prefix = key.substring(0, key.length() - 1);
      keys = store.values().keySet().stream().filter(each -> each.startsWith(prefix)).toList();
    }
    keys.forEach(each -> store.rewrite(each, line.word(2), line.word(THIRD)));
  }
}
