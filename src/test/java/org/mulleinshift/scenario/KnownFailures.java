package org.mulleinshift.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

/**
 * The list of known failures. It excuses exactly what it names: another failure of the same run, or
 * the same failure on another seed, fails the test, and so does an entry whose failure no longer
 * occurs.
 */
final class KnownFailures {
  private static final Path FILE = Path.of("KNOWN-RED.txt");

  /**
   * The failures of one run, compared with the list.
   *
   * @param unexpected failures that no entry names
   * @param excused failures that an entry names
   * @param outdated entries whose failure did not occur
   */
  record Verdict(List<String> unexpected, List<String> excused, List<KnownFailure> outdated) {
    /** What fails the test; empty if exactly the listed failures occurred. */
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

  /** Reads the list at the root of the repository; it is empty if the file does not exist. */
  static KnownFailures read() {
    try {
      return parse(Files.exists(FILE) ? Files.readAllLines(FILE) : List.of());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Parses the lines; blank lines are ignored. */
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

  /** The seeds of the range, followed by further seeds that the list names for the scenario. */
  LongStream withKnownSeeds(LongStream range, String test, String scenario) {
    return LongStream.concat(range, seeds(test, scenario)).distinct();
  }

  /** Compares the failures of a run with the list. */
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
