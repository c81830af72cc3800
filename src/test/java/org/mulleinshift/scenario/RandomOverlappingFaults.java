package org.mulleinshift.scenario;

import java.util.List;
import org.mulleinshift.scenario.RandomScenarioBuilder.DoubleRange;
import org.mulleinshift.scenario.RandomScenarioBuilder.IntRange;

/**
 * Generates faults at given times, for scenarios in which two faults overlap. A kind that is listed
 * twice is chosen twice as often.
 */
final class RandomOverlappingFaults {
  private static final DoubleRange LENGTH = new DoubleRange(4, 30);
  private static final DoubleRange FURTHER_LENGTH = new DoubleRange(4, 26);
  private static final int EARLIER_KIND_ONCE_IN = 3;
  private static final IntRange MACHINE = new IntRange(0, 6);
  private static final DoubleRange SHARE_OF_LATE_WRITES = new DoubleRange(0.1, 0.8);
  private static final DoubleRange SHARE_OF_LATE_REQUESTS = new DoubleRange(0.2, 1);
  private static final DoubleRange SHARE_OF_WRITES = new DoubleRange(0.2, 0.6);
  private static final double MIN_REFUSAL_SECONDS = 6;
  private static final double MIN_OUTAGE_SECONDS = 34;
  private static final DoubleRange OUTAGE_AFTER = new DoubleRange(0, 5);
  private static final int OUTAGE_DIVISOR = 4;
  private static final int STALL_DIVISOR = 3;
  private static final double COPIES_SECONDS = 20;
  private static final double SLOW_LINK_SECONDS = 1.2;

  private final RandomScenarioBuilder builder;

  /** The detail is a controller. */
  private final List<RandomFault<String>> kinds =
      List.of(
          (at, length, controller) ->
              add(
                  "at %.1f state late-writes %.2f %.1f",
                  at, builder().valueIn(SHARE_OF_LATE_WRITES), length),
          (at, length, controller) -> add("at %.1f copies 2 40 %.1f", at, length),
          (at, length, controller) ->
              add("at %.1f machine %s deaf %.1f", at, one("0", "3", "half"), length),
          this::isolate,
          this::refuseBeforeOutage,
          (at, length, controller) ->
              add(
                  "at %.1f crash %s %s",
                  at, one("leader", controller, "all"), one("0.05", "0.2", "1", "3")),
          (at, length, controller) ->
              add("at %.1f cut leader worker* %.1f %s", at, length, one("hold", "drop")),
          (at, length, controller) ->
              add("at %.1f cut-one-way %s worker-orders %.1f hold", at, controller, length / 2),
          (at, length, controller) ->
              add("at %.1f cut-one-way worker-orders %s %.1f hold", at, controller, length / 2),
          (at, length, controller) ->
              add(
                  "at %.1f state late %.2f %.1f",
                  at, builder().valueIn(SHARE_OF_LATE_REQUESTS), length),
          (at, length, controller) ->
              add("at %.1f machine %d hang %.1f", at, builder().valueIn(MACHINE), length / 2),
          (at, length, controller) ->
              add(
                  "at %.1f stall %s %.1f",
                  at, one("leader", controller), 2 + length / STALL_DIVISOR));

  /** The detail is the kind of transactions that a fault of the store affects. */
  private final List<RandomFault<String>> furtherKinds =
      List.of(
          this::loseAnswers,
          this::loseAnswers,
          this::delayWrites,
          this::crashAfterCopies,
          (at, length, transactions) ->
              add("at %.1f machine %s mute %.1f", at, one("0", "2", "half", "all"), length),
          (at, length, transactions) -> add("at %.1f cancel-now 4 %.1f", at, 2 + length / 2),
          this::cancelBeforeOutage,
          (at, length, transactions) -> add("at %.1f cloud boots 0.15 %.1f", at, length),
          (at, length, transactions) ->
              add("at %.1f slow-link node-* worker* %.1f %.1f", at, SLOW_LINK_SECONDS, length),
          this::crashAfterCancellation);

  RandomOverlappingFaults(RandomScenarioBuilder builder) {
    this.builder = builder;
  }

  /** Adds a fault of one of the original kinds. */
  void add(double at) {
    double length = builder.valueIn(LENGTH);
    String controller = builder.controller();
    builder.choose(kinds).add(at, length, controller);
  }

  /** Adds a fault of any kind; two in three are of the kinds that were added later. */
  void addOfAnyKind(double at) {
    if (builder.oneIn(EARLIER_KIND_ONCE_IN)) {
      add(at);
    } else {
      addFurther(at);
    }
  }

  private void addFurther(double at) {
    double length = builder.valueIn(FURTHER_LENGTH);
    String transactions =
        one("", "acceptance", "cancellation", "delegation", "end", "grant", "leader");
    builder.choose(furtherKinds).add(at, length, transactions);
  }

  private void isolate(double at, double length, String controller) {
    add("at %.1f cut %s state %.1f hold", at, controller, length);
    add("at %.1f cut %s node-* %.1f hold", at, controller, length);
  }

  private void refuseBeforeOutage(double at, double length, String controller) {
    add("at %.1f state refuse leader %.1f", at, MIN_REFUSAL_SECONDS + length / 2);
    double outageAt = builder.after(at, OUTAGE_AFTER);
    add("at %.1f state outage %.1f", outageAt, MIN_OUTAGE_SECONDS + length / 2);
  }

  private void loseAnswers(double at, double length, String transactions) {
    double share = builder.valueIn(SHARE_OF_WRITES);
    add("at %.1f state lost-answers %.2f %.1f %s", at, share, length, transactions);
  }

  private void delayWrites(double at, double length, String transactions) {
    double share = builder.valueIn(SHARE_OF_WRITES);
    add("at %.1f state late-writes %.2f %.1f %s", at, share, length, transactions);
  }

  private void crashAfterCopies(double at, double length, String transactions) {
    add("at %.1f copies-kept %.1f", at - COPIES_SECONDS, COPIES_SECONDS);
    add("at %.1f crash %s %s", at + 1, one("leader", "all"), one("0.05", "0.2", "1"));
  }

  private void cancelBeforeOutage(double at, double length, String transactions) {
    add("at %.1f cancel-now 4", at);
    add("at %.1f state refuse leader 1", at);
    add("at %.1f state outage %.1f", at + 1, MIN_OUTAGE_SECONDS + length / OUTAGE_DIVISOR);
  }

  private void crashAfterCancellation(double at, double length, String transactions) {
    add("at %.1f cut-one-way node-* worker 3 hold", at);
    add("at %.1f cancel-now 3", at + 1);
    add("at %.1f crash %s 0.2", at + 2, one("leader", "holder-of-a", "holder-of-b"));
  }

  private void add(String format, Object... values) {
    builder.add(format, values);
  }

  private String one(String... choices) {
    return builder.choose(choices);
  }

  private RandomScenarioBuilder builder() {
    return builder;
  }
}
