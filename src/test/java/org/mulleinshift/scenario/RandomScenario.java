package org.mulleinshift.scenario;

import java.util.List;
import java.util.function.DoubleConsumer;
import org.mulleinshift.scenario.RandomScenarioBuilder.DoubleRange;
import org.mulleinshift.scenario.RandomScenarioBuilder.IntRange;

/**
 * Generates scenarios with several faults from a seed: jobs, kinds of faults, targets and times.
 */
public final class RandomScenario {
  private static final double END_SECONDS = 420;
  private static final double LONG_END_SECONDS = END_SECONDS + 100;
  private static final double LAST_FAULT_SECONDS = 150;

  private static final String SMALL_TYPE = "type small cpus=8 boot=8 price=1 a=8/4 b=8/4";
  private static final IntRange JOBS = new IntRange(3, 5);
  private static final IntRange FAULTS = new IntRange(2, 5);
  private static final int SWARM_ONCE_IN = 3;

  private static final IntRange ORDINARY_RUN_SECONDS = new IntRange(5, 30);
  private static final IntRange PIPELINES = new IntRange(2, 5);
  private static final IntRange FAULTS_WITH_PIPELINES = new IntRange(2, 4);
  private static final int EARLIER_FAULT_ONCE_IN = 3;

  private static final IntRange LONG_JOBS = new IntRange(6, 4);
  private static final DoubleRange LONG_JOB_AT = new DoubleRange(3, 60);
  private static final DoubleRange FIRST_FAULT_PAIR_AT = new DoubleRange(30, 10);
  private static final double FAULT_PAIR_INTERVAL_SECONDS = 45;
  private static final DoubleRange SECOND_FAULT_AFTER = new DoubleRange(0, 8);

  private static final DoubleRange CLOSE_LOOKS_RATE = new DoubleRange(0, 0.2);
  private static final DoubleRange CANCELLED_SHARE = new DoubleRange(0, 0.5);
  private static final DoubleRange SWARM_INTERVAL = new DoubleRange(0.25, 1);

  private static final IntRange SMALL_LOGGED_JOBS = new IntRange(40, 40);
  private static final IntRange LARGE_LOGGED_JOBS = new IntRange(5, 8);
  private static final double FIRST_LOGGED_LONG_JOB_AT = 8;
  private static final DoubleRange SECOND_LOGGED_LONG_JOB_AT = new DoubleRange(12, 20);
  private static final DoubleRange FIRST_LOG_FAULT = new DoubleRange(15, 10);
  private static final DoubleRange LOG_FAULT_INTERVAL = new DoubleRange(6, 14);

  private final RandomScenarioBuilder builder;
  private final RandomJobs jobs;
  private final RandomFaults faults;

  private RandomScenario(long seed) {
    builder = new RandomScenarioBuilder(seed);
    jobs = new RandomJobs(builder);
    faults = new RandomFaults(builder);
  }

  /**
   * Lines with ordinary jobs and a few faults; every ordinary job that is not cancelled must be
   * done at the end.
   */
  public static List<String> lines(long seed) {
    RandomScenario scenario = new RandomScenario(seed);
    scenario.buildOrdinary();
    return scenario.builder.lines();
  }

  /**
   * Lines with pipelines of jobs, of which some are cancelled, while the limits of the key-value
   * store are lowered; most faults are of the kinds that were added later.
   */
  public static List<String> pipelineLines(long seed) {
    RandomScenario scenario = new RandomScenario(seed);
    scenario.buildPipelines();
    return scenario.builder.lines();
  }

  /**
   * Lines with long jobs, of which some are cancelled, and repeated pairs of faults that overlap.
   */
  public static List<String> overlappingFaultLines(long seed) {
    RandomScenario scenario = new RandomScenario(seed);
    scenario.buildOverlappingFaults(new RandomOverlappingFaults(scenario.builder)::add);
    return scenario.builder.lines();
  }

  /**
   * Lines as {@link #overlappingFaultLines}, with further kinds of faults, while users read jobs
   * right after changes, send invalid requests and cancel jobs as they end.
   */
  public static List<String> extendedOverlappingFaultLines(long seed) {
    RandomScenario scenario = new RandomScenario(seed);
    scenario.buildExtendedOverlappingFaults();
    return scenario.builder.lines();
  }

  /**
   * Lines with many jobs whose tasks start and end while writes of progress are late or their
   * responses lost, the store's limits are lowered, leaders crash and operators turn the progress
   * log off and on.
   */
  public static List<String> progressLogLines(long seed) {
    RandomScenario scenario = new RandomScenario(seed);
    scenario.buildProgressLog();
    return scenario.builder.lines();
  }

  /**
   * Lines with jobs that are cancelled as they end, with faults between their end and that of the
   * jobs that depend on them.
   */
  public static List<String> cancelledPairLines(long seed) {
    RandomScenario scenario = new RandomScenario(seed);
    scenario.buildCancelledPairs();
    return scenario.builder.lines();
  }

  private void buildOrdinary() {
    builder.addControllerCount();
    builder.add("state rps=100 writes=30");
    builder.add(SMALL_TYPE);
    builder.add("type large cpus=32 boot=12 price=5 a=1/1 b=1");
    addTeams();
    int jobCount = builder.valueIn(JOBS);
    for (int i = 1; i <= jobCount; i++) {
      jobs.addOrdinary(i, END_SECONDS);
    }
    if (builder.oneIn(SWARM_ONCE_IN)) {
      String swarm = "at %.1f swarm run-9 40 0.3 tasks=1 cpus=0.5 run=15 priority=idle";
      builder.add(swarm, builder.valueIn(RandomFaults.TIMES));
    }
    int faultCount = builder.valueIn(FAULTS);
    for (int i = 0; i < faultCount; i++) {
      faults.add();
    }
    builder.add("run %.0f", END_SECONDS);
  }

  private void addTeams() {
    builder.add("team t max=60");
    builder.add("team u max=0");
  }

  private void buildPipelines() {
    builder.addControllerCount();
    builder.add("state rps=100 writes=30 kb=8 ops=12");
    builder.add("next rps=80 writes=18 kb=1 ops=4");
    builder.add(SMALL_TYPE);
    addTeams();
    int run = builder.valueIn(ORDINARY_RUN_SECONDS);
    builder.add("at 3 job run-1 tasks=150 cpus=0.5 run=%d team=u", run);
    int pipelines = builder.valueIn(PIPELINES);
    for (int i = 0; i < pipelines; i++) {
      jobs.addPipeline(i);
    }
    builder.add("at %.1f state fall", builder.valueIn(RandomFaults.TIMES));
    int faultCount = builder.valueIn(FAULTS_WITH_PIPELINES);
    for (int i = 0; i < faultCount; i++) {
      if (builder.oneIn(EARLIER_FAULT_ONCE_IN)) {
        faults.add();
      } else {
        faults.addNewerKind();
      }
    }
    builder.add("run %.0f", END_SECONDS);
    builder.add("expect done run-1 by %.0f", END_SECONDS);
    builder.add("expect keys a/ max 0");
    builder.add("expect unfit 0");
  }

  private void buildOverlappingFaults(DoubleConsumer fault) {
    builder.addControllerCount();
    builder.add("state rps=100 writes=30");
    builder.add(SMALL_TYPE);
    addTeams();
    int jobCount = builder.valueIn(LONG_JOBS);
    for (int i = 1; i <= jobCount; i++) {
      jobs.addLong("run-" + i, builder.valueIn(LONG_JOB_AT));
    }
    builder.add("at 4 chain run-c 3 1 tasks=2 cpus=1 run=12 due=none team=u");
    builder.add("at 70 swarm run-s 4 9 tasks=3 cpus=1 run=25 due=none spread=yes team=u");
    for (double at = builder.valueIn(FIRST_FAULT_PAIR_AT);
        at < LAST_FAULT_SECONDS;
        at += FAULT_PAIR_INTERVAL_SECONDS) {
      fault.accept(at);
      fault.accept(builder.after(at, SECOND_FAULT_AFTER));
    }
    builder.add("expect open run- max 0");
    builder.add("run %.0f", LONG_END_SECONDS);
  }

  private void buildCancelledPairs() {
    builder.addControllerCount();
    builder.add("state rps=80 writes=25 kb=8 ops=12");
    builder.add("type small cpus=64 boot=5 a=4 b=4");
    addTeams();
    new RandomCancelledPairs(builder).add();
    builder.add("run %.0f", END_SECONDS);
    builder.add("expect open run- max 0");
    builder.add("expect keys a/ max 0");
  }

  private void buildExtendedOverlappingFaults() {
    builder.add("at 5 close-looks 160 %.2f", builder.valueIn(CLOSE_LOOKS_RATE));
    builder.add("at 5 odd-requests 160");
    builder.add("at 5 cancel-at-end %.2f 160", builder.valueIn(CANCELLED_SHARE));
    String swarm = "at 6 swarm run-o 40 %.2f tasks=1 cpus=1 run=7 due=none";
    builder.add(swarm, builder.valueIn(SWARM_INTERVAL));
    buildOverlappingFaults(new RandomOverlappingFaults(builder)::addOfAnyKind);
  }

  private void buildProgressLog() {
    builder.addControllerCount();
    builder.add("state rps=150 writes=40 kb=2 ops=8");
    builder.add("next rps=100 writes=25 kb=1 ops=6");
    builder.add("type small cpus=8 boot=6 a=8/4 b=8/4");
    builder.add("team t max=70");
    builder.add("team u max=0");
    String smallJobs = "at 3 swarm run-1 %d 1.5 tasks=4 cpus=1 run=12 due=none";
    builder.add(smallJobs, builder.valueIn(SMALL_LOGGED_JOBS));
    String largeJobs = "at 4 swarm run-2 %d 9 tasks=16 cpus=1 run=30 due=none team=u";
    builder.add(largeJobs, builder.valueIn(LARGE_LOGGED_JOBS));
    jobs.addLong("run-3", FIRST_LOGGED_LONG_JOB_AT);
    jobs.addLong("run-4", builder.valueIn(SECOND_LOGGED_LONG_JOB_AT));
    builder.add("at 6 swarm run-5 12 0.2 tasks=2 cpus=0.5 run=120 due=none");
    if (builder.nextBoolean()) {
      builder.add("at %.1f state fall", builder.valueIn(RandomFaults.TIMES));
    }
    RandomProgressLogFaults logFaults = new RandomProgressLogFaults(builder);
    double at = builder.valueIn(FIRST_LOG_FAULT);
    while (at < LAST_FAULT_SECONDS) {
      logFaults.add(at);
      at += builder.valueIn(LOG_FAULT_INTERVAL);
    }
    builder.add("expect open run- max 0");
    builder.add("run %.0f", LONG_END_SECONDS);
  }
}
