package org.mulleinshift.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.DoubleConsumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Draws a scenario of several troubles at once from a seed: kinds, targets and times. */
public final class RandomScenario {
  private static final double FIRST = 10;
  private static final double LAST = 150;
  private static final double END = 420;

  private final RandomGenerator random;
  private final List<String> lines = new ArrayList<>();

  private RandomScenario(long seed) {
    random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
  }

  /** The lines of the seed's scenario; every ordinary job must be done at the end. */
  public static List<String> lines(long seed) {
    return new RandomScenario(seed).draw();
  }

  private List<String> draw() {
    add("nodes %d", random.nextBoolean() ? 3 : 5);
    add("state rps=%d writes=%d", 100, 30);
    add("type small cpus=8 boot=8 price=1 a=8/4 b=8/4");
    add("type large cpus=32 boot=12 price=5 a=1/1 b=1");
    add("team t max=60");
    add("team u max=0");
    int jobs = 3 + random.nextInt(5);
    for (int i = 1; i <= jobs; i++) {
      drawJob(i);
    }
    if (random.nextInt(3) == 0) {
      add("at %.1f swarm run-9 %d 0.3 tasks=1 cpus=0.5 run=15 priority=idle", when(), 40);
    }
    int troubles = 2 + random.nextInt(5);
    for (int i = 0; i < troubles; i++) {
      drawTrouble();
    }
    add("run %.0f", END);
    return lines;
  }

  /**
   * The lines of a scenario of pipelines, with the limits of the state service falling, one or more
   * jobs cancelled, and the troubles that came last among all others.
   */
  public static List<String> chainedLines(long seed) {
    return new RandomScenario(seed).drawChained();
  }

  private List<String> drawChained() {
    add("nodes %d", random.nextBoolean() ? 3 : 5);
    add("state rps=100 writes=30 kb=8 ops=12");
    add("next rps=80 writes=18 kb=1 ops=4");
    add("type small cpus=8 boot=8 price=1 a=8/4 b=8/4");
    add("team t max=60");
    add("team u max=0");
    add("at 3 job run-1 tasks=%d cpus=0.5 run=%d team=u", 150, 5 + random.nextInt(30));
    int pipelines = 2 + random.nextInt(5);
    for (int i = 0; i < pipelines; i++) {
      drawPipeline(i);
    }
    add("at %.1f state fall", when());
    int troubles = 2 + random.nextInt(4);
    for (int i = 0; i < troubles; i++) {
      if (random.nextInt(3) == 0) {
        drawTrouble();
      } else {
        drawLateTrouble();
      }
    }
    add("run %.0f", END);
    add("expect done run-1 by %.0f", END);
    add("expect keys a/ max 0");
    add("expect unfit 0");
    return lines;
  }

  /** Four stages; some name an earlier ordinary job, some are submitted late or cancelled. */
  private void drawPipeline(int number) {
    String id = "run-p" + number + "-";
    double at = 5 + 70 * random.nextDouble();
    String first = random.nextInt(3) == 0 ? " awaits=run-1" : "";
    String form = "at %.1f job %s tasks=%d cpus=1 run=%d team=%s due=none priority=idle%s";
    add(form, at, id + 0, 1 + random.nextInt(8), 2 + random.nextInt(9), one("t", "u"), first);
    String middle = " awaits=" + id + "0";
    add(form, at + 1, id + 1, 1 + random.nextInt(8), 2 + random.nextInt(9), "t", middle);
    add(form, at + 1, id + 2, 1 + random.nextInt(8), 2 + random.nextInt(9), "u", middle);
    double last = random.nextInt(4) == 0 ? at + 40 + 60 * random.nextDouble() : at + 2.5;
    String all = " awaits=" + id + "0," + id + "1," + id + "2";
    add(form, last, id + 3, 1 + random.nextInt(4), 2 + random.nextInt(5), "t", all);
    if (random.nextInt(3) == 0) {
      int stage = random.nextInt(4);
      double from = stage == 3 ? last : at + 1;
      add("at %.1f cancel %s%d", from + 1 + 60 * random.nextDouble(), id, stage);
    }
  }

  /**
   * The lines of a scenario in which two troubles meet, again and again, while long jobs are
   * cancelled.
   */
  public static List<String> pairedLines(long seed) {
    return new RandomScenario(seed).drawPaired();
  }

  private List<String> drawPaired() {
    drawPairs(this::drawMeeting);
    return lines;
  }

  /**
   * The lines of a scenario in which the further troubles meet each other and the earlier ones,
   * while users look closely, ask oddly and cancel as jobs end.
   */
  public static List<String> furtherLines(long seed) {
    return new RandomScenario(seed).drawFurther();
  }

  private List<String> drawFurther() {
    add("at 5 close-looks 160 %.2f", 0.2 * random.nextDouble());
    add("at 5 odd-requests 160");
    add("at 5 cancel-at-end %.2f 160", 0.5 * random.nextDouble());
    add("at 6 swarm run-o 40 %.2f tasks=1 cpus=1 run=7 due=none", 0.25 + random.nextDouble());
    drawPairs(at -> drawEither(at));
    return lines;
  }

  private void drawEither(double at) {
    if (random.nextInt(3) == 0) {
      drawMeeting(at);
    } else {
      drawFurtherTrouble(at);
    }
  }

  private void drawFurtherTrouble(double at) {
    double length = 4 + 26 * random.nextDouble();
    String kinds = one("", "acceptance", "cancellation", "delegation", "end", "grant", "leader");
    switch (random.nextInt(10)) {
      case 0, 1 ->
          add(
              "at %.1f state lost-answers %.2f %.1f %s",
              at, 0.2 + 0.6 * random.nextDouble(), length, kinds);
      case 2 ->
          add(
              "at %.1f state late-writes %.2f %.1f %s",
              at, 0.2 + 0.6 * random.nextDouble(), length, kinds);
      case 3 -> {
        add("at %.1f copies-kept %.1f", at - 20, 20.0);
        add("at %.1f crash %s %s", at + 1, one("leader", "all"), one("0.05", "0.2", "1"));
      }
      case 4 -> add("at %.1f machine %s mute %.1f", at, one("0", "2", "half", "all"), length);
      case 5 -> add("at %.1f cancel-now 4 %.1f", at, 2 + length / 2);
      case 6 -> {
        add("at %.1f cancel-now 4", at);
        add("at %.1f state refuse leader 1", at);
        add("at %.1f state outage %.1f", at + 1, 34 + length / 4);
      }
      case 7 -> add("at %.1f cloud boots 0.15 %.1f", at, length);
      case 8 -> add("at %.1f slow-link node-* worker* %.1f %.1f", at, 1.2, length);
      default -> {
        add("at %.1f cut-one-way node-* worker 3 hold", at);
        add("at %.1f cancel-now 3", at + 1);
        add("at %.1f crash %s 0.2", at + 2, one("leader", "holder-of-a", "holder-of-b"));
      }
    }
  }

  /**
   * The lines of a scenario in which writes of progress get lost and come late, the limits fall,
   * leaders end and the operators switch the log off and on, while tasks of many jobs come and go.
   */
  public static List<String> loggedLines(long seed) {
    return new RandomScenario(seed).drawLogged();
  }

  private List<String> drawLogged() {
    add("nodes %d", random.nextBoolean() ? 3 : 5);
    add("state rps=%d writes=%d kb=2 ops=8", 150, 40);
    add("next rps=%d writes=%d kb=1 ops=6", 100, 25);
    add("type small cpus=8 boot=6 a=8/4 b=8/4");
    add("team t max=70");
    add("team u max=0");
    add("at 3 swarm run-1 %d 1.5 tasks=4 cpus=1 run=12 due=none", 40 + random.nextInt(40));
    add("at 4 swarm run-2 %d 9 tasks=16 cpus=1 run=30 due=none team=u", 5 + random.nextInt(8));
    drawLongJob("run-3", 8);
    drawLongJob("run-4", 12 + 20 * random.nextDouble());
    add("at 6 swarm run-5 12 0.2 tasks=2 cpus=0.5 run=120 due=none");
    if (random.nextBoolean()) {
      add("at %.1f state fall", when());
    }
    for (double at = 15 + 10 * random.nextDouble(); at < LAST; at += 6 + 14 * random.nextDouble()) {
      drawLogTrouble(at);
    }
    add("expect open run- max 0");
    add("run %.0f", END + 100);
    return lines;
  }

  private void drawLogTrouble(double at) {
    double length = 3 + 15 * random.nextDouble();
    double share = 0.2 + 0.7 * random.nextDouble();
    switch (random.nextInt(10)) {
      case 0, 1 -> add("at %.1f state late-writes %.2f %.1f delegation", at, share, length);
      case 2 -> add("at %.1f state late-writes %.2f %.1f", at, share, length);
      case 3 -> add("at %.1f state lost-answers %.2f %.1f delegation", at, share, length);
      case 4 -> add("at %.1f crash %s %s", at, one("leader", "all"), one("0.05", "0.2", "1"));
      case 5 -> add("at %.1f state mute leader %.1f", at, length);
      case 6 -> add("at %.1f state refuse leader %.1f", at, length);
      case 7 -> add("at %.1f stall leader %.1f", at, 1 + length / 3);
      case 8 -> {
        add("at %.1f operators progress_log %s", at, one("0", "1"));
        add("at %.1f crash %s 0.2", at + 0.5, one("leader", "all"));
      }
      default -> add("at %.1f state late %.2f %.1f", at, 0.1 + share, length);
    }
  }

  private void drawPairs(DoubleConsumer meeting) {
    add("nodes %d", random.nextBoolean() ? 3 : 5);
    add("state rps=%d writes=%d", 100, 30);
    add("type small cpus=8 boot=8 price=1 a=8/4 b=8/4");
    add("team t max=60");
    add("team u max=0");
    int jobs = 6 + random.nextInt(4);
    for (int i = 1; i <= jobs; i++) {
      drawLongJob("run-" + i, 3 + 60 * random.nextDouble());
    }
    add("at 4 chain run-c 3 1 tasks=2 cpus=1 run=12 due=none team=u");
    add("at 70 swarm run-s 4 9 tasks=3 cpus=1 run=25 due=none spread=yes team=u");
    for (double at = 30 + 10 * random.nextDouble(); at < LAST; at += 45) {
      meeting.accept(at);
      meeting.accept(at + 8 * random.nextDouble());
    }
    add("expect open run- max 0");
    add("run %.0f", END + 100);
  }

  /** Half of them are cancelled while they run. */
  private void drawLongJob(String id, double at) {
    String form = "at %.1f job %s tasks=%d cpus=%s run=%d team=%s due=none fetch=%d %s";
    String zones = one("spread=yes", "one_zone=yes", "spread=no", "spread=no");
    int tasks = 2 + random.nextInt(14);
    int run = 30 + random.nextInt(90);
    add(form, at, id, tasks, one("1", "2", "4"), run, one("t", "u"), 1 + random.nextInt(4), zones);
    if (random.nextBoolean()) {
      add("at %.1f cancel %s", at + 20 + 90 * random.nextDouble(), id);
    }
  }

  private void drawMeeting(double at) {
    double length = 4 + 30 * random.nextDouble();
    String who = node();
    switch (random.nextInt(12)) {
      case 0 ->
          add("at %.1f state late-writes %.2f %.1f", at, 0.1 + 0.8 * random.nextDouble(), length);
      case 1 -> add("at %.1f copies 2 40 %.1f", at, length);
      case 2 -> add("at %.1f machine %s deaf %.1f", at, one("0", "3", "half"), length);
      case 3 -> {
        add("at %.1f cut %s state %.1f hold", at, who, length);
        add("at %.1f cut %s node-* %.1f hold", at, who, length);
      }
      case 4 -> {
        add("at %.1f state refuse leader %.1f", at, 6 + length / 2);
        add("at %.1f state outage %.1f", at + 5 * random.nextDouble(), 34 + length / 2);
      }
      case 5 ->
          add("at %.1f crash %s %s", at, one("leader", who, "all"), one("0.05", "0.2", "1", "3"));
      case 6 -> add("at %.1f cut leader worker* %.1f %s", at, length, one("hold", "drop"));
      case 7 -> add("at %.1f cut-one-way %s worker-orders %.1f hold", at, who, length / 2);
      case 8 -> add("at %.1f cut-one-way worker-orders %s %.1f hold", at, who, length / 2);
      case 9 -> add("at %.1f state late %.2f %.1f", at, 0.2 + random.nextDouble(), length);
      case 10 -> add("at %.1f machine %d hang %.1f", at, random.nextInt(6), length / 2);
      default -> add("at %.1f stall %s %.1f", at, one("leader", who), 2 + length / 3);
    }
  }

  private void drawLateTrouble() {
    double at = when();
    double length = 3 + 40 * random.nextDouble();
    String who = node();
    switch (random.nextInt(6)) {
      case 0 -> add("at %.1f machine %d deaf %.1f", Math.max(at, 30), random.nextInt(6), length);
      case 1 ->
          add("at %.1f machine %s deaf %.1f stays", Math.max(at, 30), one("0", "half"), length);
      case 2 -> add("at %.1f copies 1 40 %.1f", at, length);
      case 3 -> {
        add("at %.1f cut %s state %.1f hold", at, who, length);
        add("at %.1f cut %s node-* %.1f hold", at, who, length);
      }
      case 4 -> add("at %.1f crash %s %s", at, one(who, "all"), one("0.05", "0.2"));
      default -> {
        add("at %.1f crash %s %s", at, who, one("0.05", "0.2", "3"));
        add("at %.1f crash leader %s", at + 0.5 + random.nextDouble(), one("0.05", "0.2"));
      }
    }
  }

  private void add(String format, Object... values) {
    lines.add(String.format(Locale.ROOT, format, values));
  }

  private double when() {
    return FIRST + (LAST - FIRST) * random.nextDouble();
  }

  private String one(String... choices) {
    return choices[random.nextInt(choices.length)];
  }

  private void drawJob(int number) {
    String id = "run-" + number;
    boolean mistaken = random.nextInt(6) == 0;
    boolean cancelled = mistaken || random.nextInt(5) == 0;
    double at = 3 + 100 * random.nextDouble();
    add(
        "at %.1f job %s tasks=%d cpus=%s run=%d team=%s priority=%s fetch=%d %s %s %s",
        at,
        id,
        1 + random.nextInt(20),
        one("1", "2", "4"),
        5 + random.nextInt(40),
        one("t", "u"),
        one("urgent", "standard", "idle"),
        1 + random.nextInt(6),
        mistaken ? "fails=yes" : "fails=no",
        random.nextInt(4) == 0 ? "spread=yes" : "spread=no",
        random.nextInt(4) == 0 ? "spot=no" : "spot=yes");
    if (cancelled) {
      add("at %.1f cancel %s", at + 5 + 90 * random.nextDouble(), id);
    } else {
      add("expect done %s by %.0f", id, END);
    }
  }

  private String node() {
    return one("leader", "holder-of-a", "holder-of-b", "node-0", "node-1", "node-2");
  }

  private void drawTrouble() {
    double at = when();
    double length = 3 + 40 * random.nextDouble();
    String mode = one("drop", "hold");
    switch (random.nextInt(18)) {
      case 0 -> add("at %.1f crash %s", at, node());
      case 1 -> add("at %.1f crash all", at);
      case 2, 3 -> add("at %.1f stall %s %.1f", at, node(), length);
      case 4 -> add("at %.1f cut %s worker* %.1f %s", at, node(), length, mode);
      case 5 -> add("at %.1f cut %s state %.1f %s", at, node(), length, mode);
      case 6 -> add("at %.1f cut %s * %.1f %s", at, node(), length, mode);
      case 7 -> add("at %.1f cut %s node* %.1f %s", at, node(), length, mode);
      case 8 ->
          add(
              "at %.1f cut-one-way %s %s %.1f %s",
              at, node(), one("state", "worker*", "node*"), length, mode);
      case 9 ->
          add(
              "at %.1f cut-one-way %s %s %.1f %s",
              at, one("state", "worker*", "node*"), node(), length, mode);
      case 10 -> add("at %.1f state outage %.1f", at, length / 2);
      case 11 -> add("at %.1f state %s %s %.1f", at, one("refuse", "mute"), node(), length);
      case 12 -> add("at %.1f state compact", at);
      case 13 -> add("at %.1f cloud %s %.1f", at, one("outage", "stuck"), length);
      case 14 -> add("at %.1f cloud boots %s %.1f", at, one("0.05", "3", "6"), length);
      case 15 -> add("at %.1f polls 8 %.1f", at, length);
      case 16 -> add("at %.1f machine %d hang %.1f", Math.max(at, 60), random.nextInt(6), length);
      default ->
          add(
              "at %.1f machine %d %s",
              Math.max(at, 60),
              random.nextInt(6),
              one("kill", "sick", "slow 4", "recall 8", "recall 1"));
    }
  }
}
