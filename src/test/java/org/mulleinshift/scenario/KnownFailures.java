package org.mulleinshift.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

/**
 * The list of known failures. It excuses exactly what it names: another failure of the same play,
 * or the same failure on another seed, fails the test; so does an entry whose failure no longer
 * comes.
 */
final class KnownFailures {
  private static final Path FILE = Path.of("KNOWN-RED.txt");

  /**
   * What the list says of one play.
   *
   * @param unexpected failures that no entry names
   * @param excused failures that an entry names
   * @param outdated entries whose failure did not come
   */
  record Verdict(List<String> unexpected, List<String> excused, List<KnownFailure> outdated) {
    /** What fails the test; empty if the play went as expected. */
    List<String> problems() {
      List<String> problems = new ArrayList<>(unexpected);
      outdated.forEach(entry -> problems.add("known failure no longer comes: " + entry));
      return problems;
    }
  }

  private final List<KnownFailure> entries;

  private KnownFailures(List<KnownFailure> entries) {
    this.entries = entries;
  }

  /** The list at the root of the repository; without the file there is none. */
  static KnownFailures read() {
    try {
      return parse(Files.exists(FILE) ? Files.readAllLines(FILE) : List.of());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Reads lines; blank ones are left out. */
  static KnownFailures parse(List<String> lines) {
    return new KnownFailures(
        lines.stream().filter(line -> !line.isBlank()).map(KnownFailure::parse).toList());
  }

  List<KnownFailure> entries() {
    return entries;
  }

  /** The seeds for which the list names failures of the scenario. */
  LongStream seeds(String test, String scenario) {
    return entries.stream()
        .filter(entry -> entry.isOf(test, scenario))
        .mapToLong(KnownFailure::seed)
        .distinct()
        .sorted();
  }

  /** The seeds of a range and those that the list names besides. */
  LongStream withKnownSeeds(LongStream range, String test, String scenario) {
    return LongStream.concat(range, seeds(test, scenario)).distinct();
  }

  /** Holds the failures of a play against the list. */
  Verdict judge(String test, String scenario, long seed, List<String> failures) {
    List<KnownFailure> known =
        entries.stream()
            .filter(entry -> entry.isOf(test, scenario) && entry.seed() == seed)
            .toList();
    List<String> unexpected = new ArrayList<>();
    List<String> excused = new ArrayList<>();
    for (String failure : failures) {
      boolean isKnown = known.stream().anyMatch(entry -> entry.matches(failure));
      (isKnown ? excused : unexpected).add(failure);
    }
    List<KnownFailure> outdated =
        known.stream().filter(entry -> failures.stream().noneMatch(entry::matches)).toList();
    return new Verdict(unexpected, excused, outdated);
  }
}
