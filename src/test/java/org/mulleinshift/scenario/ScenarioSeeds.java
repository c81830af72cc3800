package org.mulleinshift.scenario;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.mulleinshift.settings.SettingsException;
import org.mulleinshift.simulation.DelayedCopies;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs selected scenarios with a range of seeds. Prints for each scenario how many runs failed,
 * then the failures with their seeds. Exits with 1 if a run failed.
 */
@Command(name = "scenario-seeds", mixinStandardHelpOptions = true, sortOptions = false)
public final class ScenarioSeeds implements Callable<Integer> {
  private static final int FAILED = 1;

  @Option(
      names = "--only",
      split = ",",
      description = "Run scenarios whose names start with one of these.")
  private List<String> prefixes = new ArrayList<>();

  @Option(names = "--file", split = ",", description = "Also run these files, from any directory.")
  private List<Path> files = new ArrayList<>();

  @Option(names = "--seeds", description = "A range such as 1-200, or one seed.")
  private String seeds = "1-40";

  @Option(names = "--threads", description = "Scenarios run in parallel.")
  private int threads = 4;

  @Option(
      names = "--copy",
      description = "This share of the messages of --kind arrives again after it was carried out.")
  private double copiedShare;

  @Option(names = "--kind", description = "What is copied: ${COMPLETION-CANDIDATES}.")
  private DelayedCopies.Kind copiedKind = DelayedCopies.Kind.COMMANDS;

  @Option(
      names = "--log",
      description = "Print the log with virtual times; LOG_LEVEL sets the level.")
  private boolean log;

  /** A run of a scenario with one seed, and its failures once it has ended. */
  private record SeedRun(long seed, Future<List<String>> failures) {}

  /** All runs of a scenario. */
  private record ScenarioRuns(String name, List<SeedRun> runs) {}

  /** Runs the scenarios that the arguments select; see {@code --help}. */
  public static void main(String[] args) {
    CommandLine commandLine = new CommandLine(new ScenarioSeeds());
    System.exit(commandLine.setCaseInsensitiveEnumValuesAllowed(true).execute(args));
  }

  @Override
  public Integer call() throws Exception {
    if (log) {
      VirtualTimeLogAppender.install();
    }
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    try {
      List<ScenarioRuns> all = new ArrayList<>();
      for (ScenarioCatalog.Entry scenario : chosen()) {
        all.add(submit(scenario, pool));
      }
      boolean anyFailed = false;
      for (ScenarioRuns scenario : all) {
        anyFailed |= report(scenario);
      }
      return anyFailed ? FAILED : 0;
    } finally {
      pool.shutdownNow();
    }
  }

  private List<ScenarioCatalog.Entry> chosen() throws Exception {
    List<ScenarioCatalog.Entry> chosen = new ArrayList<>();
    for (ScenarioCatalog.Entry scenario : ScenarioCatalog.all()) {
      if (prefixes.stream().anyMatch(scenario.name()::startsWith)) {
        chosen.add(scenario);
      }
    }
    files.forEach(path -> chosen.add(ScenarioCatalog.file(path)));
    if (chosen.isEmpty()) {
      throw new IllegalArgumentException("no scenario selected, prefixes=" + prefixes);
    }
    return copiedShare > 0 ? chosen.stream().map(this::withCopies).toList() : chosen;
  }

  private ScenarioCatalog.Entry withCopies(ScenarioCatalog.Entry scenario) {
    return scenario.mapLines((seed, lines) -> CopiedCommands.with(copiedKind, copiedShare, lines));
  }

  private ScenarioRuns submit(ScenarioCatalog.Entry scenario, ExecutorService pool) {
    List<SeedRun> runs = new ArrayList<>();
    SeedRange.parse(seeds).stream()
        .forEach(seed -> runs.add(new SeedRun(seed, pool.submit(() -> run(scenario, seed)))));
    return new ScenarioRuns(scenario.name(), runs);
  }

  private static List<String> run(ScenarioCatalog.Entry scenario, long seed)
      throws SettingsException {
    return Scenario.execute(scenario.lines().apply(seed), seed);
  }

  /** Waits for the runs of a scenario, prints their results and returns whether any failed. */
  private static boolean report(ScenarioRuns scenario) throws Exception {
    List<String> lines = new ArrayList<>();
    int failed = 0;
    for (SeedRun run : scenario.runs()) {
      List<String> failures = run.failures().get();
      failed += failures.isEmpty() ? 0 : 1;
      failures.forEach(failure -> lines.add("  seed " + run.seed() + ": " + failure));
    }
    System.out.println(scenario.name() + " played=" + scenario.runs().size() + " failed=" + failed);
    lines.forEach(System.out::println);
    return failed > 0;
  }
}
