package org.mulleinshift.scenario;

import java.util.List;
import org.mulleinshift.scenario.RandomScenarioBuilder.DoubleRange;
import org.mulleinshift.scenario.RandomScenarioBuilder.IntRange;

/**
 * Generates scenarios in which shards change hands and tasks are stopped, while responses of the
 * store and of controllers arrive after later ones.
 */
final class RandomLateAnswers {
  private static final double END_SECONDS = 170;
  private static final DoubleRange TIMES = new DoubleRange(12, 80);
  private static final DoubleRange LENGTH = new DoubleRange(10, 50);
  private static final DoubleRange HELD = new DoubleRange(0.8, 2.9);
  private static final DoubleRange COMMAND_DELAY = new DoubleRange(0.1, 0.3);
  private static final DoubleRange SHARE = new DoubleRange(0.2, 0.7);
  private static final IntRange FAULTS = new IntRange(3, 4);
  private static final IntRange HOLDS = new IntRange(4, 6);
  private static final IntRange STALLS = new IntRange(3, 3);

  private final RandomScenarioBuilder builder;

  /** The detail is for how long a response is held. */
  private final List<RandomFault<Double>> kinds =
      List.of(
          (at, length, held) ->
              add("at %.1f state late-news %s %.2f %.1f", at, one("c/", "a/"), held, length),
          (at, length, held) -> add("at %.1f state late-news c/ %.2f %.1f", at, held, length),
          this::delayGrants,
          this::loseGrantResponses,
          (at, length, held) -> add("at %.1f state late %.2f %.1f", at, held / 2, length),
          (at, length, held) -> add("at %.1f crash leader %s", at, one("0.2", "1", "3")),
          (at, length, held) -> add("at %.1f cancel-now 4", at),
          (at, length, held) -> add("at %.1f copies 1 9 %.1f", at, length));

  private RandomLateAnswers(RandomScenarioBuilder builder) {
    this.builder = builder;
  }

  /** The lines for a seed. */
  static List<String> lines(long seed) {
    RandomScenarioBuilder builder = new RandomScenarioBuilder(seed);
    new RandomLateAnswers(builder).build();
    return builder.lines();
  }

  private void build() {
    builder.addControllerCount();
    add("type small cpus=8 boot=4 a=6 b=6");
    add("team t max=0");
    add("at 3 swarm run-1 360 0.25 tasks=2 cpus=1 run=4 due=none zone=a");
    add("at 9 swarm run-2 280 0.3 tasks=2 cpus=0.5 run=0.4 due=none zone=b");
    add("at 15 swarm run-3 15 5 tasks=2 cpus=4 run=3 due=none priority=urgent");
    add("at 12 slow-link node-* worker-orders %.2f 80", builder.valueIn(COMMAND_DELAY));
    int holds = builder.valueIn(HOLDS);
    for (int i = 0; i < holds; i++) {
      double at = builder.valueIn(TIMES);
      add("at %.1f cut-one-way node-* worker %.2f hold", at, builder.valueIn(HELD));
    }
    int stalls = builder.valueIn(STALLS);
    for (int i = 0; i < stalls; i++) {
      add("at %.1f stall %s 6", builder.valueIn(TIMES), builder.controller());
    }
    int faults = builder.valueIn(FAULTS);
    for (int i = 0; i < faults; i++) {
      double at = builder.valueIn(TIMES);
      builder.choose(kinds).add(at, builder.valueIn(LENGTH), builder.valueIn(HELD));
    }
    add("run %.0f", END_SECONDS);
  }

  private void delayGrants(double at, double length, double held) {
    add("at %.1f state late-writes %.2f %.1f grant", at, builder.valueIn(SHARE), length);
  }

  private void loseGrantResponses(double at, double length, double held) {
    add("at %.1f state lost-answers %.2f %.1f grant", at, builder.valueIn(SHARE), length);
  }

  private void add(String format, Object... values) {
    builder.add(format, values);
  }

  private String one(String... choices) {
    return builder.choose(choices);
  }
}
