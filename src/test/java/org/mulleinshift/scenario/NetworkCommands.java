package org.mulleinshift.scenario;

import static org.mulleinshift.scenario.ScenarioLine.FOURTH;
import static org.mulleinshift.scenario.ScenarioLine.THIRD;

import java.util.Locale;
import org.mulleinshift.simulation.DelayedCopies;
import org.mulleinshift.simulation.DelayedDuplicates;
import org.mulleinshift.simulation.SimulatedCluster;
import org.mulleinshift.simulation.SimulatedNetwork;

/** Commands that lose, delay and duplicate messages. */
final class NetworkCommands {
  private final SimulatedCluster cluster;

  NetworkCommands(ScenarioContext context, CommandTable table) {
    this.cluster = context.cluster();
    SimulatedNetwork network = cluster.network();
    DelayedDuplicates duplicates = cluster.duplicates();
    table.addFault("cut", line -> network.cutBothWays(link(line), mode(line), line.number(THIRD)));
    table.addFault(
        "cut-one-way", line -> network.cutOneWay(link(line), mode(line), line.number(THIRD)));
    table.addFault(
        "slow-link", line -> network.slow(link(line), line.number(THIRD), line.number(FOURTH)));
    table.addFault(
        "copies",
        line -> duplicates.duplicateDuring(line.number(THIRD), line.number(1), line.number(2)));
    table.addFault("copies-kept", line -> duplicates.keepDuring(line.number(1)));
    // No fault: a copy of what was carried out and answered must have no effect at any time.
    for (DelayedCopies.Kind kind : DelayedCopies.Kind.values()) {
      table.add(nameOfCopies(kind), line -> copy(kind, line));
    }
  }

  /** The command that delivers copies of the messages of a kind. */
  static String nameOfCopies(DelayedCopies.Kind kind) {
    return "copies-" + kind.name().toLowerCase(Locale.ROOT);
  }

  /** {@code copies-KIND SHARE FROM TO SECONDS}. */
  private void copy(DelayedCopies.Kind kind, ScenarioLine line) {
    cluster
        .copies(kind)
        .copyDuring(line.number(FOURTH), line.number(1), line.number(2), line.number(THIRD));
  }

  /** The hosts in a line; roles such as the leader are resolved when the line is executed. */
  private SimulatedNetwork.Link link(ScenarioLine line) {
    return new SimulatedNetwork.Link(cluster.hostOf(line.word(1)), cluster.hostOf(line.word(2)));
  }

  private static SimulatedNetwork.Mode mode(ScenarioLine line) {
    return SimulatedNetwork.Mode.valueOf(line.word(FOURTH).toUpperCase(Locale.ROOT));
  }
}
