package org.mulleinshift.scenario;

import java.util.List;
import java.util.function.DoubleConsumer;
import org.mulleinshift.scenario.ScenarioDraw.Count;
import org.mulleinshift.scenario.ScenarioDraw.Span;

/** Draws a scenario of several faults at once from a seed: kinds, targets and times. */
public final class RandomScenario {
  private static final double END = 420;
  private static final double LONG_END = END + 100;
  private static final double LAST_FAULT = 150;

  private static final String SMALL_TYPE = "type small cpus=8 boot=8 price=1 a=8/4 b=8/4";
  private static final Count JOBS = new Count(3, 5);
  private static final Count FAULTS = new Count(2, 5);
  private static final int SWARM_ONCE_IN = 3;

  private static final Count ORDINARY_RUN_SECONDS = new Count(5, 30);
  private static final Count PIPELINES = new Count(2, 5);
  private static final Count FAULTS_WITH_PIPELINES = new Count(2, 4);
  private static final int EARLIER_FAULT_ONCE_IN = 3;

  private static final Count LONG_JOBS = new Count(6, 4);
  private static final Span LONG_JOB_AT = new Span(3, 60);
  private static final Span FIRST_MEETING = new Span(30, 10);
  private static final double MEETING_INTERVAL = 45;
  private static final Span SECOND_FAULT_AFTER = new Span(0, 8);

  private static final Span CLOSE_LOOKS_RATE = new Span(0, 0.2);
  private static final Span CANCELLED_SHARE = new Span(0, 0.5);
  private static final Span SWARM_INTERVAL = new Span(0.25, 1);

  private static final Count SMALL_LOGGED_JOBS = new Count(40, 40);
  private static final Count LARGE_LOGGED_JOBS = new Count(5, 8);
  private static final double FIRST_LOGGED_LONG_JOB_AT = 8;
  private static final Span SECOND_LOGGED_LONG_JOB_AT = new Span(12, 20);
  private static final Span FIRST_LOG_FAULT = new Span(15, 10);
  private static final Span LOG_FAULT_INTERVAL = new Span(6, 14);

  private final ScenarioDraw draw;
  private final DrawnJobs jobs;
  private final DrawnFaults faults;

  private RandomScenario(long seed) {
    draw = new ScenarioDraw(seed);
    jobs = new DrawnJobs(draw);
    faults = new DrawnFaults(draw);
  }

  /** The lines of the seed's scenario; every ordinary job must be done at the end. */
  public static List<String> lines(long seed) {
    RandomScenario scenario = new RandomScenario(seed);
    scenario.drawOrdinary();
    return scenario.draw.lines();
  }

  /**
   * The lines of a scenario of pipelines, with the limits of the state service falling, one or more
   * jobs cancelled, and the faults that came last among all others.
   */
  public static List<String> chainedLines(long seed) {
    RandomScenario scenario = new RandomScenario(seed);
    scenario.drawChained();
    return scenario.draw.lines();
  }

  /**
   * The lines of a scenario in which two faults meet, again and again, while long jobs are
   * cancelled.
   */
  public static List<String> pairedLines(long seed) {
    RandomScenario scenario = new RandomScenario(seed);
    scenario.drawPairs(new DrawnMeetings(scenario.draw)::add);
    return scenario.draw.lines();
  }

  /**
   * The lines of a scenario in which the further faults meet each other and the earlier ones, while
   * users look closely, ask oddly and cancel as jobs end.
   */
  public static List<String> furtherLines(long seed) {
    RandomScenario scenario = new RandomScenario(seed);
    scenario.drawFurther();
    return scenario.draw.lines();
  }

  /**
   * The lines of a scenario in which writes of progress get lost and come late, the limits fall,
   * leaders end and the operators switch the log off and on, while tasks of many jobs come and go.
   */
  public static List<String> loggedLines(long seed) {
    RandomScenario scenario = new RandomScenario(seed);
    scenario.drawLogged();
    return scenario.draw.lines();
  }

  /**
   * The lines of a scenario in which jobs are cancelled as they end, and faults come between their
   * ends and those of the jobs that depend on them.
   */
  public static List<String> cancelledPairLines(long seed) {
    RandomScenario scenario = new RandomScenario(seed);
    scenario.drawCancelledPairs();
    return scenario.draw.lines();
  }

  private void drawOrdinary() {
    draw.addNodes();
    draw.add("state rps=100 writes=30");
    draw.add(SMALL_TYPE);
    draw.add("type large cpus=32 boot=12 price=5 a=1/1 b=1");
    addTeams();
    int jobCount = draw.number(JOBS);
    for (int i = 1; i <= jobCount; i++) {
      jobs.addOrdinary(i, END);
    }
    if (draw.onceIn(SWARM_ONCE_IN)) {
      String swarm = "at %.1f swarm run-9 40 0.3 tasks=1 cpus=0.5 run=15 priority=idle";
      draw.add(swarm, draw.number(DrawnFaults.TIMES));
    }
    int faultCount = draw.number(FAULTS);
    for (int i = 0; i < faultCount; i++) {
      faults.add();
    }
    draw.add("run %.0f", END);
  }

  private void addTeams() {
    draw.add("team t max=60");
    draw.add("team u max=0");
  }

  private void drawChained() {
    draw.addNodes();
    draw.add("state rps=100 writes=30 kb=8 ops=12");
    draw.add("next rps=80 writes=18 kb=1 ops=4");
    draw.add(SMALL_TYPE);
    addTeams();
    int run = draw.number(ORDINARY_RUN_SECONDS);
    draw.add("at 3 job run-1 tasks=150 cpus=0.5 run=%d team=u", run);
    int pipelines = draw.number(PIPELINES);
    for (int i = 0; i < pipelines; i++) {
      jobs.addPipeline(i);
    }
    draw.add("at %.1f state fall", draw.number(DrawnFaults.TIMES));
    int faultCount = draw.number(FAULTS_WITH_PIPELINES);
    for (int i = 0; i < faultCount; i++) {
      if (draw.onceIn(EARLIER_FAULT_ONCE_IN)) {
        faults.add();
      } else {
        faults.addLater();
      }
    }
    draw.add("run %.0f", END);
    draw.add("expect done run-1 by %.0f", END);
    draw.add("expect keys a/ max 0");
    draw.add("expect unfit 0");
  }

  private void drawPairs(DoubleConsumer fault) {
    draw.addNodes();
    draw.add("state rps=100 writes=30");
    draw.add(SMALL_TYPE);
    addTeams();
    int jobCount = draw.number(LONG_JOBS);
    for (int i = 1; i <= jobCount; i++) {
      jobs.addLong("run-" + i, draw.number(LONG_JOB_AT));
    }
    draw.add("at 4 chain run-c 3 1 tasks=2 cpus=1 run=12 due=none team=u");
    draw.add("at 70 swarm run-s 4 9 tasks=3 cpus=1 run=25 due=none spread=yes team=u");
    for (double at = draw.number(FIRST_MEETING); at < LAST_FAULT; at += MEETING_INTERVAL) {
      fault.accept(at);
      fault.accept(draw.after(at, SECOND_FAULT_AFTER));
    }
    draw.add("expect open run- max 0");
    draw.add("run %.0f", LONG_END);
  }

  private void drawCancelledPairs() {
    draw.addNodes();
    draw.add("state rps=80 writes=25 kb=8 ops=12");
    draw.add("type small cpus=64 boot=5 a=4 b=4");
    addTeams();
    new DrawnCancelledPairs(draw).add();
    draw.add("run %.0f", END);
    draw.add("expect open run- max 0");
    draw.add("expect keys a/ max 0");
  }

  private void drawFurther() {
    draw.add("at 5 close-looks 160 %.2f", draw.number(CLOSE_LOOKS_RATE));
    draw.add("at 5 odd-requests 160");
    draw.add("at 5 cancel-at-end %.2f 160", draw.number(CANCELLED_SHARE));
    String swarm = "at 6 swarm run-o 40 %.2f tasks=1 cpus=1 run=7 due=none";
    draw.add(swarm, draw.number(SWARM_INTERVAL));
    drawPairs(new DrawnMeetings(draw)::addEither);
  }

  private void drawLogged() {
    draw.addNodes();
    draw.add("state rps=150 writes=40 kb=2 ops=8");
    draw.add("next rps=100 writes=25 kb=1 ops=6");
    draw.add("type small cpus=8 boot=6 a=8/4 b=8/4");
    draw.add("team t max=70");
    draw.add("team u max=0");
    String smallJobs = "at 3 swarm run-1 %d 1.5 tasks=4 cpus=1 run=12 due=none";
    draw.add(smallJobs, draw.number(SMALL_LOGGED_JOBS));
    String largeJobs = "at 4 swarm run-2 %d 9 tasks=16 cpus=1 run=30 due=none team=u";
    draw.add(largeJobs, draw.number(LARGE_LOGGED_JOBS));
    jobs.addLong("run-3", FIRST_LOGGED_LONG_JOB_AT);
    jobs.addLong("run-4", draw.number(SECOND_LOGGED_LONG_JOB_AT));
    draw.add("at 6 swarm run-5 12 0.2 tasks=2 cpus=0.5 run=120 due=none");
    if (draw.coin()) {
      draw.add("at %.1f state fall", draw.number(DrawnFaults.TIMES));
    }
    DrawnLogFaults logFaults = new DrawnLogFaults(draw);
    double at = draw.number(FIRST_LOG_FAULT);
    while (at < LAST_FAULT) {
      logFaults.add(at);
      at += draw.number(LOG_FAULT_INTERVAL);
    }
    draw.add("expect open run- max 0");
    draw.add("run %.0f", LONG_END);
  }
}
