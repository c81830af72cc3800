package org.mulleinshift.scenario;

import java.util.List;
import org.mulleinshift.scenario.RandomScenarioBuilder.DoubleRange;

/** Generates faults that the progress log must survive. */
final class RandomProgressLogFaults {
  private static final DoubleRange LENGTH = new DoubleRange(3, 15);
  private static final DoubleRange SHARE = new DoubleRange(0.2, 0.7);
  private static final double MORE_LATE_REQUESTS = 0.1;
  private static final int STALL_DIVISOR = 3;

  private final RandomScenarioBuilder builder;

  /** The detail is the share of requests that a fault affects. */
  private final List<RandomFault<Double>> kinds =
      List.of(
          this::delayProgress,
          this::delayProgress,
          (at, length, share) -> add("at %.1f state late-writes %.2f %.1f", at, share, length),
          (at, length, share) ->
              add("at %.1f state lost-answers %.2f %.1f delegation", at, share, length),
          (at, length, share) ->
              add("at %.1f crash %s %s", at, one("leader", "all"), one("0.05", "0.2", "1")),
          (at, length, share) -> add("at %.1f state mute leader %.1f", at, length),
          (at, length, share) -> add("at %.1f state refuse leader %.1f", at, length),
          (at, length, share) -> add("at %.1f stall leader %.1f", at, 1 + length / STALL_DIVISOR),
          this::switchLogBeforeCrash,
          (at, length, share) ->
              add("at %.1f state late %.2f %.1f", at, MORE_LATE_REQUESTS + share, length));

  RandomProgressLogFaults(RandomScenarioBuilder builder) {
    this.builder = builder;
  }

  /** Adds a fault that begins at the time. */
  void add(double at) {
    double length = builder.valueIn(LENGTH);
    double share = builder.valueIn(SHARE);
    builder.choose(kinds).add(at, length, share);
  }

  private void delayProgress(double at, double length, double share) {
    add("at %.1f state late-writes %.2f %.1f delegation", at, share, length);
  }

  private void switchLogBeforeCrash(double at, double length, double share) {
    add("at %.1f operators progress_log %s", at, one("0", "1"));
    add("at %.1f crash %s 0.2", at + 0.5, one("leader", "all"));
  }

  private void add(String format, Object... values) {
    builder.add(format, values);
  }

  private String one(String... choices) {
    return builder.choose(choices);
  }
}
