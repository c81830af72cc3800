package org.mulleinshift.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/** All scenarios by name: those in files, and the families that are drawn from a seed. */
public final class ScenarioCatalog {
  private static final Path FOLDER = Path.of("src/test/resources/scenarios");
  private static final String SUFFIX = ".scenario";

  /**
   * A scenario that can be played with any seed.
   *
   * @param name of the file without its suffix, or of the family
   * @param lines of the seed
   */
  public record Entry(String name, LongFunction<List<String>> lines) {
    /** The seeds that the lines name besides the fixed ones; those of a drawn family name none. */
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

  /** The scenarios of the test resources, sorted by name. */
  public static List<Entry> files() throws IOException {
    try (Stream<Path> files = Files.list(FOLDER)) {
      return files.sorted().map(ScenarioCatalog::file).toList();
    }
  }

  /** The scenario of one file, wherever it is. */
  public static Entry file(Path path) {
    String fileName = path.getFileName().toString();
    if (!fileName.endsWith(SUFFIX)) {
      throw new IllegalArgumentException("not a scenario: " + path);
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

  /** The drawn families. */
  public static List<Entry> randomFamilies() {
    return List.of(
        new Entry("drawn", RandomScenario::lines),
        new Entry("drawn-chains", RandomScenario::pipelineLines),
        new Entry("drawn-meetings", RandomScenario::overlappingFaultLines),
        new Entry("drawn-further-meetings", RandomScenario::extendedOverlappingFaultLines),
        new Entry("drawn-progress-log", RandomScenario::progressLogLines),
        new Entry("drawn-cancelled-pairs", RandomScenario::cancelledPairLines));
  }

  /** All files and all drawn families. */
  public static List<Entry> all() throws IOException {
    List<Entry> all = new ArrayList<>(files());
    all.addAll(randomFamilies());
    return all;
  }
}
