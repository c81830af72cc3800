package org.mulleinshift.scenario;

import java.util.List;
import org.mulleinshift.scenario.RandomScenarioBuilder.DoubleRange;
import org.mulleinshift.scenario.RandomScenarioBuilder.IntRange;

/**
 * Generates pairs of jobs in which one depends on the other, cancels some jobs as they end, and
 * generates faults that come between the stored end of a job and that of its dependent.
 */
final class RandomCancelledPairs {
  private static final DoubleRange CANCELLED_SHARE = new DoubleRange(0.2, 0.8);
  private static final IntRange PAIRS = new IntRange(60, 60);
  private static final DoubleRange PAIR_INTERVAL = new DoubleRange(0.25, 0.5);
  private static final IntRange DEPENDENTS = new IntRange(20, 60);
  private static final DoubleRange CANCELLED_AT = new DoubleRange(30, 60);
  private static final DoubleRange FIRST_FAULT_AFTER = new DoubleRange(0, 3);
  private static final IntRange FURTHER_FAULTS = new IntRange(0, 3);
  private static final DoubleRange FURTHER_FAULT_AT = new DoubleRange(30, 100);
  private static final DoubleRange SHARE = new DoubleRange(0.2, 0.4);
  private static final DoubleRange LENGTH = new DoubleRange(3, 15);

  private final RandomScenarioBuilder builder;

  /** The detail is the share of requests that a fault affects. */
  private final List<RandomFault<Double>> kinds =
      List.of(
          (at, length, share) ->
              add("at %.1f crash all %s", at, one("0.05", "0.2", "1", "34", "45")),
          (at, length, share) ->
              add("at %.1f crash %s %s", at, one("leader", "all"), one("0.2", "1")),
          (at, length, share) -> add("at %.1f state late-writes %.2f %.1f end", at, share, length),
          (at, length, share) -> add("at %.1f state lost-answers %.2f %.1f end", at, share, length),
          (at, length, share) -> add("at %.1f state late %.2f %.1f", at, share, length),
          this::dropStoreChanges);

  RandomCancelledPairs(RandomScenarioBuilder builder) {
    this.builder = builder;
  }

  /** Adds the jobs, the cancellations and the faults. */
  void add() {
    double share = builder.valueIn(CANCELLED_SHARE);
    add("at 10 cancel-at-end %.2f 120", share);
    String pairs = "at 12 pairs run-5 run-1 %d %.2f tasks=1 cpus=1 run=8 due=none";
    add(pairs, builder.valueIn(PAIRS), builder.valueIn(PAIR_INTERVAL));
    add("at 3 job run-6 tasks=4 cpus=1 run=300 due=none");
    add("at 3.5 job run-7 tasks=1 cpus=1 run=3 due=none awaits=run-6");
    add("at 4 star run-8 run-7 %d 0.2 tasks=1 cpus=1 run=3 due=none", builder.valueIn(DEPENDENTS));
    double cancelledAt = builder.valueIn(CANCELLED_AT);
    add("at %.1f cancel run-6", cancelledAt);
    addFault(builder.after(cancelledAt, FIRST_FAULT_AFTER));
    int further = builder.valueIn(FURTHER_FAULTS);
    for (int i = 0; i < further; i++) {
      addFault(builder.valueIn(FURTHER_FAULT_AT));
    }
  }

  private void addFault(double at) {
    double length = builder.valueIn(LENGTH);
    double share = builder.valueIn(SHARE);
    builder.choose(kinds).add(at, length, share);
  }

  /**
   * Holds back changes from the leader and compacts the store meanwhile, so that the leader misses
   * changes and must read the active jobs again.
   */
  private void dropStoreChanges(double at, double length, double share) {
    add("at %.1f state hold-news leader %.1f", at, length);
    add("at %.1f state compact", at + length - 1);
  }

  private void add(String format, Object... values) {
    builder.add(format, values);
  }

  private String one(String... choices) {
    return builder.choose(choices);
  }
}
