package org.mulleinshift.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * The random choices of a seed, and the lines that were drawn with them. The order of the calls
 * decides what a seed draws: a call more or less changes the whole rest of its scenario.
 */
final class ScenarioDraw {
  private static final int FEW_NODES = 3;
  private static final int MANY_NODES = 5;

  /** Numbers from a least one on. */
  record Span(double least, double width) {}

  /** So many whole numbers from a least one on. */
  record Count(int least, int values) {}

  private final RandomGenerator random;
  private final List<String> lines = new ArrayList<>();

  ScenarioDraw(long seed) {
    random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
  }

  List<String> lines() {
    return lines;
  }

  void add(String format, Object... values) {
    lines.add(String.format(Locale.ROOT, format, values));
  }

  /** Adds the line with the number of controllers: three or five. */
  void addNodes() {
    add("nodes %d", coin() ? FEW_NODES : MANY_NODES);
  }

  boolean coin() {
    return random.nextBoolean();
  }

  /** True once in so many times. */
  boolean onceIn(int times) {
    return random.nextInt(times) == 0;
  }

  int number(Count count) {
    return count.least() + random.nextInt(count.values());
  }

  double number(Span span) {
    return after(0, span);
  }

  /** A time that is later than the start by a number of the span. */
  double after(double start, Span span) {
    return start + span.least() + span.width() * random.nextDouble();
  }

  String one(String... choices) {
    return choices[random.nextInt(choices.length)];
  }

  <T> T one(List<T> choices) {
    return choices.get(random.nextInt(choices.size()));
  }

  /** A controller, by its label or by what it does at the time. */
  String node() {
    return one("leader", "holder-of-a", "holder-of-b", "node-0", "node-1", "node-2");
  }
}
