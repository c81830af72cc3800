package org.mulleinshift.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.mulleinshift.invariants.InvariantChecker;
import org.mulleinshift.invariants.StarvationCheck;
import org.mulleinshift.settings.SettingsException;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.simulation.SentMessageListener;
import org.mulleinshift.simulation.SimulatedCluster;
import org.mulleinshift.simulation.SimulatedController;
import org.mulleinshift.simulation.StoreHistory;
import org.mulleinshift.simulation.time.VirtualTimeline;

/**
 * Runs a scenario against real controllers in a simulated cluster and virtual time. {@code
 * docs/scenarios.md} describes the scenario language. Every run also checks the protocol's
 * invariants, whatever the scenario expects.
 */
public final class Scenario {
  private final ScenarioSettings settings;
  private final StartCommandsAfterCancellation startCommandsAfterCancellation;
  private final List<String> failures = new ArrayList<>();
  private final VirtualTimeline timeline;
  private final InvariantChecker checker;
  private final SimulatedCluster cluster;
  private final CommandTable commands = new CommandTable();
  private final Expectations expectations;

  private Scenario(List<String> lines, long seed, SentMessageListener sentMessages) {
    this.settings = new ScenarioSettings(lines);
    this.startCommandsAfterCancellation = new StartCommandsAfterCancellation(sentMessages);
    this.timeline = new VirtualTimeline(seed);
    this.checker = new InvariantChecker(timeline, settings.teamLimits(), settings.cancelSeconds());
    this.cluster =
        new SimulatedCluster(timeline, checker, settings.workerTiming(), settings.storeLimits());
    settings.addMachineTypes(cluster.cloud());
    ScenarioContext context = new ScenarioContext(timeline, checker, cluster, failures);
    new JobCommands(context, commands);
    new RequestCommands(context, commands);
    new ControllerCommands(context, commands, settings.tunables());
    new NetworkCommands(context, commands);
    new StoreCommands(context, commands, settings.storeLimits());
    new MachineCommands(context, commands);
    this.expectations =
        new Expectations(
            context, commands, settings.endSeconds(), this.startCommandsAfterCancellation);
  }

  /** Runs the scenario file and returns the failures: broken invariants and unmet expectations. */
  public static List<String> execute(Path file, long seed) throws IOException, SettingsException {
    return execute(linesOf(file), seed);
  }

  /** The lines of a scenario file, without comments and blank lines. */
  public static List<String> linesOf(Path file) throws IOException {
    return Files.readAllLines(file).stream()
        .map(line -> line.replaceAll("#.*", "").strip())
        .filter(line -> !line.isEmpty())
        .toList();
  }

  /** Runs the lines and returns the failures: broken invariants and unmet expectations. */
  public static List<String> execute(List<String> lines, long seed) throws SettingsException {
    return execute(lines, seed, SentMessageListener.IGNORED);
  }

  /**
   * Runs the lines, passes every message that a controller sends to the listener, and returns the
   * failures.
   */
  public static List<String> execute(
      List<String> lines, long seed, SentMessageListener sentMessages) throws SettingsException {
    Scenario scenario = new Scenario(lines, seed, sentMessages);
    scenario.run();
    return scenario.failures;
  }

  /**
   * How long a failover took.
   *
   * @param secondsToNewTerm from the fault to the start of a leader term
   * @param secondsToProgress from the fault to the first progress stored after that start
   * @param failures of the run
   */
  public record Failover(
      double secondsToNewTerm, double secondsToProgress, List<String> failures) {}

  /** Runs the lines and measures how soon the leader was replaced after a fault at {@code at} s. */
  public static Failover measureFailover(List<String> lines, long seed, double at)
      throws SettingsException {
    Scenario scenario = new Scenario(lines, seed, SentMessageListener.IGNORED);
    scenario.run();
    StoreHistory history = scenario.cluster.store().history();
    double termAt = history.firstTermAfter(at);
    double progressAt = history.firstProgressAfter(termAt);
    return new Failover(termAt - at, progressAt - at, scenario.failures);
  }

  private void run() throws SettingsException {
    Tunables tunables = Tunables.parse("scenario", settings.tunables());
    for (int i = 0; i < settings.controllerCount(); i++) {
      cluster.addController(settings.platformSettings(i), tunables, startCommandsAfterCancellation);
    }
    cluster.controllers().forEach(SimulatedController::start);
    settings.commands().forEach(this::schedule);
    double faultsOverAt = faultsOverAt();
    StarvationCheck starvation =
        new StarvationCheck(timeline, checker, cluster.cloud(), cluster.store()::isRewritten);
    timeline.at(faultsOverAt, starvation::start);
    timeline.runUntil(settings.endSeconds());
    checker.checkAtEnd(faultsOverAt);
    failures.addAll(checker.violations().lines());
    settings.expectations().forEach(expectations::check);
  }

  private void schedule(ScenarioSettings.TimedCommand timed) {
    commands.check(timed.command());
    timeline.at(timed.seconds(), () -> commands.run(timed.command()));
  }

  /** When the last fault is over, in seconds, from its start and the durations in its line. */
  private double faultsOverAt() {
    return settings.commands().stream()
        .filter(timed -> commands.isFault(timed.command()))
        .mapToDouble(timed -> timed.seconds() + timed.command().sumOfNumbers(1))
        .reduce(0, Math::max);
  }
}
