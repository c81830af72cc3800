package org.mulleinshift.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Collects the lines of a scenario that is generated from a seed, and makes the random choices for
 * them. A seed's scenario depends on the order of the calls: one call more or less changes
 * everything that is generated after it.
 */
final class RandomScenarioBuilder {
  private static final int FEW_CONTROLLERS = 3;
  private static final int MANY_CONTROLLERS = 5;

  /** Numbers from {@code min} (inclusive) to {@code min + width} (exclusive). */
  record DoubleRange(double min, double width) {}

  /** Integers from {@code min} to {@code min + size - 1}. */
  record IntRange(int min, int size) {}

  private final RandomGenerator random;
  private final List<String> lines = new ArrayList<>();

  RandomScenarioBuilder(long seed) {
    random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
  }

  List<String> lines() {
    return lines;
  }

  void add(String format, Object... values) {
    lines.add(String.format(Locale.ROOT, format, values));
  }

  /** Adds the line with the number of controllers: three or five. */
  void addControllerCount() {
    add("nodes %d", nextBoolean() ? FEW_CONTROLLERS : MANY_CONTROLLERS);
  }

  boolean nextBoolean() {
    return random.nextBoolean();
  }

  /** True with a probability of one in {@code times}. */
  boolean oneIn(int times) {
    return random.nextInt(times) == 0;
  }

  int valueIn(IntRange range) {
    return range.min() + random.nextInt(range.size());
  }

  double valueIn(DoubleRange range) {
    return after(0, range);
  }

  /** {@code start} plus a random number in the range. */
  double after(double start, DoubleRange range) {
    return start + range.min() + range.width() * random.nextDouble();
  }

  String choose(String... choices) {
    return choices[random.nextInt(choices.length)];
  }

  <T> T choose(List<T> choices) {
    return choices.get(random.nextInt(choices.size()));
  }

  /** A controller, by its label or by its role at the time of the fault. */
  String controller() {
    return choose("leader", "holder-of-a", "holder-of-b", "node-0", "node-1", "node-2");
  }
}
