package org.mulleinshift.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
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
