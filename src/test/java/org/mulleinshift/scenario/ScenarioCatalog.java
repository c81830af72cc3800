package org.mulleinshift.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/** All scenarios by name: scenario files, and families whose lines are generated from a seed. */
public final class ScenarioCatalog {
  private static final Path FOLDER = Path.of("src/test/resources/scenarios");
  private static final String SUFFIX = ".scenario";

  /**
   * A scenario that can be run with any seed.
   *
   * @param name the file name without its suffix, or the name of the family
   * @param lines the scenario's lines for a seed; the same for all seeds if it is a file
   */
  public record Entry(String name, LongFunction<List<String>> lines) {
    /** The same scenario with other lines; {@code change} gets the seed and its lines. */
    Entry mapLines(BiFunction<Long, List<String>, List<String>> change) {
      return new Entry(name, seed -> change.apply(seed, lines.apply(seed)));
    }

    /** The additional seeds that a scenario file names; none for a random family. */
    LongStream namedSeeds() {
      return lines.apply(0).stream()
          .map(ScenarioLine::parse)
          .filter(line -> line.word(0).equals(ScenarioSettings.SEEDS))
          .flatMap(line -> line.skip(1).words().stream())
          .mapToLong(Long::parseLong);
    }

    @Override
    public String toString() {
      return name;
    }
  }

  private ScenarioCatalog() {}

  /** The scenario files of the test resources, sorted by name. */
  public static List<Entry> files() throws IOException {
    try (Stream<Path> files = Files.list(FOLDER)) {
      return files.sorted().map(ScenarioCatalog::file).toList();
    }
  }

  /** Those files whose names start with the system property {@code scenario}; all without it. */
  static List<Entry> selectedFiles() throws IOException {
    String prefix = System.getProperty("scenario", "");
    return files().stream().filter(scenario -> scenario.name().startsWith(prefix)).toList();
  }

  /**
   * The scenario in a file, which need not be among the test resources.
   *
   * @throws IllegalArgumentException if the file name does not end with {@code .scenario}
   */
  public static Entry file(Path path) {
    String fileName = path.getFileName().toString();
    if (!fileName.endsWith(SUFFIX)) {
      throw new IllegalArgumentException("not a scenario file: " + path);
    }
    String name = fileName.substring(0, fileName.length() - SUFFIX.length());
    return new Entry(name, seed -> read(path));
  }

  private static List<String> read(Path path) {
    try {
      return Scenario.linesOf(path);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The families of scenarios that are generated from a seed. */
  public static List<Entry> randomFamilies() {
    return Stream.of(
            new Entry("drawn", RandomScenario::lines),
            new Entry("drawn-chains", RandomScenario::pipelineLines),
            new Entry("drawn-meetings", RandomScenario::overlappingFaultLines),
            new Entry("drawn-further-meetings", RandomScenario::extendedOverlappingFaultLines),
            new Entry("drawn-progress-log", RandomScenario::progressLogLines),
            new Entry("drawn-cancelled-pairs", RandomScenario::cancelledPairLines),
            new Entry("drawn-late-answers", RandomLateAnswers::lines),
            new Entry("drawn-cancellations", RandomCancellations::lines))
        .map(family -> family.mapLines(CopiedCommands::drawn))
        .toList();
  }

  /** All scenario files, followed by all random families. */
  public static List<Entry> all() throws IOException {
    List<Entry> all = new ArrayList<>(files());
    all.addAll(randomFamilies());
    return all;
  }
}
