package org.mulleinshift.scenario;

import java.util.List;
import org.mulleinshift.scenario.RandomScenarioBuilder.DoubleRange;
import org.mulleinshift.scenario.RandomScenarioBuilder.IntRange;

/**
 * Generates scenarios in which jobs are cancelled while they are being accepted, while they run,
 * while they end and in pipelines, and in which controllers restart in turn, responses of the store
 * arrive later, transactions are committed late and watches are held back. No task may be commanded
 * to start once the cancellation of its job is acknowledged.
 */
final class RandomCancellations {
  private static final double FIRST_RESTART_SECONDS = 16;
  private static final double LAST_FAULT_SECONDS = 110;
  private static final double END_SECONDS = 300;

  private static final DoubleRange CANCELLED_SHARE = new DoubleRange(0.3, 0.6);
  private static final DoubleRange CANCEL_DELAY = new DoubleRange(0, 2.5);
  private static final DoubleRange JOB_INTERVAL = new DoubleRange(0.3, 0.5);
  private static final DoubleRange ARRAY_INTERVAL = new DoubleRange(2, 3);
  private static final IntRange ARRAY_TASKS = new IntRange(40, 80);
  private static final DoubleRange CANCEL_INTERVAL = new DoubleRange(0.8, 4);
  private static final DoubleRange RESTART_INTERVAL = new DoubleRange(2, 9);
  private static final DoubleRange STORE_DELAY = new DoubleRange(0.02, 0.28);
  private static final DoubleRange FAULT_AT = new DoubleRange(14, 90);
  private static final DoubleRange LENGTH = new DoubleRange(3, 14);
  private static final DoubleRange SHARE = new DoubleRange(0.2, 0.6);
  private static final IntRange FAULTS = new IntRange(2, 5);
  private static final int RESTARTED_CONTROLLERS = 3;

  private final RandomScenarioBuilder builder;

  /** The detail is a controller. */
  private final List<RandomFault<String>> kinds =
      List.of(
          (at, length, controller) ->
              add("at %.1f state late %.2f %.1f", at, builder().valueIn(STORE_DELAY), length * 2),
          this::delayTransactions,
          this::loseResponses,
          (at, length, controller) ->
              add("at %.1f state hold-watches %s %.1f", at, controller, length),
          (at, length, controller) ->
              add("at %.1f state hold-news %s %.1f", at, controller, length),
          (at, length, controller) -> add("at %.1f stall %s %.1f", at, controller, length / 2),
          this::isolate,
          (at, length, controller) -> add("at %.1f state compact", at));

  private RandomCancellations(RandomScenarioBuilder builder) {
    this.builder = builder;
  }

  /** The lines for a seed. */
  static List<String> lines(long seed) {
    RandomScenarioBuilder builder = new RandomScenarioBuilder(seed);
    new RandomCancellations(builder).build();
    return builder.lines();
  }

  private void build() {
    builder.addControllerCount();
    add("state rps=100 writes=40");
    add("type small cpus=8 boot=5 a=8 b=8");
    add("team t max=0");
    add("team u max=0");
    addJobs();
    add("at 10 state late-reads c/ %.2f %.0f", builder.valueIn(STORE_DELAY), LAST_FAULT_SECONDS);
    add("at 10 state late-news a/ %.2f %.0f", builder.valueIn(STORE_DELAY), LAST_FAULT_SECONDS);
    addCancellations();
    addRestarts();
    int faults = builder.valueIn(FAULTS);
    for (int i = 0; i < faults; i++) {
      double at = builder.valueIn(FAULT_AT);
      double length = builder.valueIn(LENGTH);
      builder.choose(kinds).add(at, length, builder.controller());
    }
    add("run %.0f", END_SECONDS);
    add("expect orders-after-cancel 0");
    add("expect open run- max 0");
  }

  private void addJobs() {
    add(
        "at 3 swarm run-1 140 %.2f tasks=2 cpus=1 run=4 due=none cancel_share=%.2f cancel_after=%.2f",
        builder.valueIn(JOB_INTERVAL),
        builder.valueIn(CANCELLED_SHARE),
        builder.valueIn(CANCEL_DELAY));
    add(
        "at 5 swarm run-2 30 %.1f tasks=%d cpus=1 run=2 due=none team=u",
        builder.valueIn(ARRAY_INTERVAL), builder.valueIn(ARRAY_TASKS));
    add(
        "at 6 pairs run-5 run-4 50 %.2f tasks=1 cpus=1 run=5 due=none",
        2 * builder.valueIn(JOB_INTERVAL));
    add("at 8 chain run-6 12 2 tasks=2 cpus=1 run=6 due=none team=u");
    add("at 10 cancel-at-end %.2f 100", builder.valueIn(CANCELLED_SHARE));
  }

  private void addCancellations() {
    for (double at = FIRST_RESTART_SECONDS;
        at < LAST_FAULT_SECONDS;
        at += builder.valueIn(CANCEL_INTERVAL)) {
      add("at %.2f cancel-now 3", at);
    }
  }

  private void addRestarts() {
    int next = 0;
    for (double at = FIRST_RESTART_SECONDS;
        at < LAST_FAULT_SECONDS;
        at += builder.valueIn(RESTART_INTERVAL)) {
      String pause = builder.choose("0.05", "0.3", "1", "3");
      add("at %.2f crash node-%d %s", at, next % RESTARTED_CONTROLLERS, pause);
      add("at %.2f cancel-now 4", at + Double.parseDouble(pause));
      next++;
    }
  }

  private void delayTransactions(double at, double length, String controller) {
    String kind =
        builder.choose("acceptance", "cancellation", "delegation", "end", "grant", "node");
    add("at %.1f state late-writes %.2f %.1f %s", at, builder.valueIn(SHARE), length, kind);
  }

  private void loseResponses(double at, double length, String controller) {
    String kind =
        builder.choose("acceptance", "cancellation", "delegation", "end", "grant", "node");
    add("at %.1f state lost-answers %.2f %.1f %s", at, builder.valueIn(SHARE), length, kind);
  }

  private void isolate(double at, double length, String controller) {
    add("at %.1f cut %s state %.1f drop", at, controller, length);
    add("at %.1f cut %s node-* %.1f drop", at, controller, length);
  }

  private void add(String format, Object... values) {
    builder.add(format, values);
  }

  private RandomScenarioBuilder builder() {
    return builder;
  }
}
