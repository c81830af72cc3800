package org.mulleinshift.scenario;

import org.mulleinshift.scenario.RandomScenarioBuilder.DoubleRange;
import org.mulleinshift.scenario.RandomScenarioBuilder.IntRange;

/** Generates jobs and cancels some of them. */
final class RandomJobs {
  private static final String[] CPUS = {"1", "2", "4"};
  private static final String[] TEAMS = {"t", "u"};

  private static final int FAILING_ONCE_IN = 6;
  private static final int CANCELLED_ONCE_IN = 5;
  private static final int CONSTRAINED_ONCE_IN = 4;
  private static final DoubleRange SUBMITTED_AT = new DoubleRange(3, 100);
  private static final IntRange TASKS = new IntRange(1, 20);
  private static final IntRange RUN_SECONDS = new IntRange(5, 40);
  private static final IntRange FETCH_SECONDS = new IntRange(1, 6);
  private static final DoubleRange CANCELLED_AFTER = new DoubleRange(5, 90);

  private static final IntRange LONG_TASKS = new IntRange(2, 14);
  private static final IntRange LONG_RUN_SECONDS = new IntRange(30, 90);
  private static final IntRange LONG_FETCH_SECONDS = new IntRange(1, 4);
  private static final DoubleRange LONG_CANCELLED_AFTER = new DoubleRange(20, 90);

  private static final String STAGE =
      "at %.1f job %s tasks=%d cpus=1 run=%d team=%s due=none priority=idle%s";
  private static final int STAGES = 4;
  private static final int LAST_STAGE = STAGES - 1;
  private static final int ORDINARY_DEPENDENCY_ONCE_IN = 3;
  private static final int LATE_LAST_STAGE_ONCE_IN = 4;
  private static final int PIPELINE_CANCELLED_ONCE_IN = 3;
  private static final DoubleRange PIPELINE_AT = new DoubleRange(5, 70);
  private static final double LAST_STAGE_AFTER = 2.5;
  private static final DoubleRange LATE_LAST_STAGE_AFTER = new DoubleRange(40, 60);
  private static final DoubleRange STAGE_CANCELLED_AFTER = new DoubleRange(1, 60);
  private static final IntRange STAGE_TASKS = new IntRange(1, 8);
  private static final IntRange STAGE_RUN_SECONDS = new IntRange(2, 9);
  private static final IntRange LAST_STAGE_TASKS = new IntRange(1, 4);
  private static final IntRange LAST_STAGE_RUN_SECONDS = new IntRange(2, 5);

  private final RandomScenarioBuilder builder;

  RandomJobs(RandomScenarioBuilder builder) {
    this.builder = builder;
  }

  /** Adds an ordinary job; unless it is cancelled, it must be done at the end. */
  void addOrdinary(int number, double endSeconds) {
    String id = "run-" + number;
    boolean failing = builder.oneIn(FAILING_ONCE_IN);
    boolean cancelled = failing || builder.oneIn(CANCELLED_ONCE_IN);
    double at = builder.valueIn(SUBMITTED_AT);
    builder.add(
        "at %.1f job %s tasks=%d cpus=%s run=%d team=%s priority=%s fetch=%d %s %s %s",
        at,
        id,
        builder.valueIn(TASKS),
        builder.choose(CPUS),
        builder.valueIn(RUN_SECONDS),
        builder.choose(TEAMS),
        builder.choose("urgent", "standard", "idle"),
        builder.valueIn(FETCH_SECONDS),
        failing ? "fails=yes" : "fails=no",
        builder.oneIn(CONSTRAINED_ONCE_IN) ? "spread=yes" : "spread=no",
        builder.oneIn(CONSTRAINED_ONCE_IN) ? "spot=no" : "spot=yes");
    if (cancelled) {
      builder.add("at %.1f cancel %s", builder.after(at, CANCELLED_AFTER), id);
    } else {
      builder.add("expect done %s by %.0f", id, endSeconds);
    }
  }

  /** Adds a long job; half of them are cancelled while they run. */
  void addLong(String id, double at) {
    String form = "at %.1f job %s tasks=%d cpus=%s run=%d team=%s due=none fetch=%d %s";
    String zones = builder.choose("spread=yes", "one_zone=yes", "spread=no", "spread=no");
    int tasks = builder.valueIn(LONG_TASKS);
    int run = builder.valueIn(LONG_RUN_SECONDS);
    String cpus = builder.choose(CPUS);
    String team = builder.choose(TEAMS);
    builder.add(form, at, id, tasks, cpus, run, team, builder.valueIn(LONG_FETCH_SECONDS), zones);
    if (builder.nextBoolean()) {
      builder.add("at %.1f cancel %s", builder.after(at, LONG_CANCELLED_AFTER), id);
    }
  }

  /**
   * Adds a pipeline of four jobs: two depend on the first, the last on all three. In some pipelines
   * the first depends on run-1, the last is submitted late or one of the four is cancelled.
   */
  void addPipeline(int number) {
    String id = "run-p" + number + "-";
    double at = builder.valueIn(PIPELINE_AT);
    String first = builder.oneIn(ORDINARY_DEPENDENCY_ONCE_IN) ? " awaits=run-1" : "";
    int tasks = builder.valueIn(STAGE_TASKS);
    int run = builder.valueIn(STAGE_RUN_SECONDS);
    builder.add(STAGE, at, id + 0, tasks, run, builder.choose(TEAMS), first);
    String middle = " awaits=" + id + "0";
    addMiddleStage(at + 1, id + 1, "t", middle);
    addMiddleStage(at + 1, id + 2, "u", middle);
    double last =
        builder.oneIn(LATE_LAST_STAGE_ONCE_IN)
            ? builder.after(at, LATE_LAST_STAGE_AFTER)
            : at + LAST_STAGE_AFTER;
    String all = " awaits=" + id + "0," + id + "1," + id + "2";
    int lastTasks = builder.valueIn(LAST_STAGE_TASKS);
    int lastRun = builder.valueIn(LAST_STAGE_RUN_SECONDS);
    builder.add(STAGE, last, id + LAST_STAGE, lastTasks, lastRun, "t", all);
    if (builder.oneIn(PIPELINE_CANCELLED_ONCE_IN)) {
      int stage = builder.valueIn(new IntRange(0, STAGES));
      double from = stage == LAST_STAGE ? last : at + 1;
      builder.add("at %.1f cancel %s%d", builder.after(from, STAGE_CANCELLED_AFTER), id, stage);
    }
  }

  private void addMiddleStage(double at, String id, String team, String dependency) {
    int tasks = builder.valueIn(STAGE_TASKS);
    builder.add(STAGE, at, id, tasks, builder.valueIn(STAGE_RUN_SECONDS), team, dependency);
  }
}
