package org.mulleinshift.digest;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.mulleinshift.scenario.CutScenario;
import org.mulleinshift.scenario.Scenario;
import org.mulleinshift.scenario.ScenarioCatalog;
import org.mulleinshift.settings.SettingsException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Writes a hash of all messages that the controllers send in each run of a scenario, to compare two
 * builds: a change that keeps the behaviour keeps every line {@code name seed hash}.
 */
@Command(name = "behaviour-digest", mixinStandardHelpOptions = true, sortOptions = false)
public final class BehaviourDigest implements Callable<Integer> {
  private static final int FILE_SEEDS = 3;
  private static final int FAMILY_SEEDS = 24;
  private static final int CUTS = 40;
  private static final int CUT_STRIDE = 1009;

  /** A scenario with the seed to run it with. */
  record ScenarioRun(String name, long seed, List<String> lines) {}

  @Option(
      names = "--out",
      description = "File to write the digest to, or the messages with --dump.")
  private Path out = Path.of("target/digest.txt");

  @Option(names = "--only", description = "Only scenarios whose names start with this.")
  private String only = "";

  @Option(names = "--threads", description = "Scenarios run in parallel.")
  private int threads = 4;

  @Option(
      names = "--dump",
      description = "Write the messages of the scenario with this name instead.")
  private String dumped = "";

  @Option(names = "--seed", description = "Seed of the scenario whose messages are written.")
  private long seed = 1;

  /** Writes the digest, or the messages of one run; see {@code --help}. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new BehaviourDigest()).execute(args));
  }

  @Override
  public Integer call() throws Exception {
    if (dumped.isEmpty()) {
      writeDigest();
    } else {
      writeMessages();
    }
    return 0;
  }

  private void writeDigest() throws IOException, InterruptedException, ExecutionException {
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    try {
      List<Future<String>> lines = new ArrayList<>();
      for (ScenarioRun run : scenarioRuns()) {
        if (run.name().startsWith(only)) {
          lines.add(pool.submit(() -> run.name() + " " + run.seed() + " " + hash(run)));
        }
      }
      try (Writer writer = Files.newBufferedWriter(out)) {
        for (Future<String> line : lines) {
          writer.write(line.get() + "\n");
        }
      }
    } finally {
      pool.shutdownNow();
    }
  }

  private void writeMessages() throws IOException, SettingsException {
    ScenarioRun run =
        scenarioRuns().stream()
            .filter(any -> any.name().equals(dumped) && any.seed() == seed)
            .findFirst()
            .orElseThrow(
                () ->
                    new IllegalArgumentException(
                        "no run of scenario " + dumped + " with seed " + seed));
    try (Writer writer = Files.newBufferedWriter(out)) {
      Scenario.execute(run.lines(), run.seed(), new MessageLineWriter(line -> write(writer, line)));
    }
  }

  private static void write(Writer writer, String line) {
    try {
      writer.write(line);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The SHA-256 of all messages of a run, in the order in which they were sent. */
  static String hash(ScenarioRun run) throws SettingsException, NoSuchAlgorithmException {
    MessageDigest digest = MessageDigest.getInstance("SHA-256");
    Scenario.execute(
        run.lines(),
        run.seed(),
        new MessageLineWriter(line -> digest.update(line.getBytes(StandardCharsets.UTF_8))));
    return HexFormat.of().formatHex(digest.digest());
  }

  /** The runs of the digest: all scenario files, the random families and a sample of link cuts. */
  static List<ScenarioRun> scenarioRuns() throws IOException {
    List<ScenarioRun> runs = new ArrayList<>();
    for (ScenarioCatalog.Entry scenario : ScenarioCatalog.files()) {
      addRuns(runs, scenario, FILE_SEEDS);
    }
    for (ScenarioCatalog.Entry scenario : ScenarioCatalog.randomFamilies()) {
      addRuns(runs, scenario, FAMILY_SEEDS);
    }
    for (long i = 0; i < CUTS; i++) {
      int number = (int) (i * CUT_STRIDE % CutScenario.COUNT);
      runs.add(new ScenarioRun("cut-" + number, number + 1, CutScenario.lines(number)));
    }
    return runs;
  }

  private static void addRuns(List<ScenarioRun> runs, ScenarioCatalog.Entry scenario, int seeds) {
    for (long each = 1; each <= seeds; each++) {
      runs.add(new ScenarioRun(scenario.name(), each, scenario.lines().apply(each)));
    }
  }
}
