package org.mulleinshift.scenario;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The {@code expect} lines of a scenario; each names one kind of expectation. */
final class Expectations {
  /** One kind of expectation. */
  @FunctionalInterface
  interface Expectation {
    /**
     * Describes what was found instead; empty if the expectation is met.
     *
     * @param line without {@code expect}; its first word is the kind
     * @param limit the last number of the line, or the end of the scenario in seconds
     */
    Optional<String> mismatch(ScenarioLine line, double limit);
  }

  /** From this number of words on, the last word of a line is its limit. */
  private static final int WORDS_WITH_LIMIT = 3;

  /** The kind whose last word is a text and no limit. */
  private static final String STORED = "stored";

  private final ScenarioContext context;
  private final double endSeconds;
  private final Map<String, Expectation> kinds = new HashMap<>();

  /**
   * Adds all kinds of expectations, and the commands {@code expect} and {@code remember}.
   *
   * @param endSeconds when the scenario ends
   * @param startCommandsAfterCancellation counts the start commands that controllers sent too late
   */
  Expectations(
      ScenarioContext context,
      CommandTable table,
      double endSeconds,
      StartCommandsAfterCancellation startCommandsAfterCancellation) {
    this.context = context;
    this.endSeconds = endSeconds;
    JobExpectations.addTo(kinds, context.checker(), context.timeline());
    StoreExpectations store = new StoreExpectations(context.cluster().store(), endSeconds);
    store.addTo(kinds);
    ClusterExpectations.addTo(kinds, context.cluster());
    kinds.put(
        "orders-after-cancel",
        (line, limit) -> atMost(startCommandsAfterCancellation.count(), line.number(1)));
    table.add("remember", line -> store.rememberOwners());
    table.add("expect", this::check);
  }

  /** Checks an {@code expect} line and adds a failure if it is not met. */
  void check(ScenarioLine expectLine) {
    ScenarioLine line = expectLine.skip(1);
    Expectation kind = kinds.get(line.word(0));
    if (kind == null) {
      throw expectLine.unknownLine();
    }
    boolean hasLimit = line.size() >= WORDS_WITH_LIMIT && !line.word(0).equals(STORED);
    double limit = hasLimit ? line.number(line.size() - 1) : endSeconds;
    kind.mismatch(line, limit)
        .ifPresent(found -> context.failures().add(expectLine + ": " + found));
  }

  static Optional<String> atLeast(double value, double limit) {
    return value < limit ? Optional.of(Double.toString(value)) : Optional.empty();
  }

  static Optional<String> atMost(double value, double limit) {
    return value > limit ? Optional.of(Double.toString(value)) : Optional.empty();
  }

  static Optional<String> unless(boolean met, String found) {
    return met ? Optional.empty() : Optional.of(found);
  }
}
