package org.mulleinshift.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.mulleinshift.simulation.DelayedCopies;

/**
 * Adds to a scenario that some of the direct messages that workers have carried out and answered
 * arrive a second time. A scenario holds with these copies as without.
 */
final class CopiedCommands {
  private static final double MIN_DELAY_SECONDS = 0.2;

  /** Well over a worker's lease. */
  private static final double MAX_DELAY_SECONDS = 40;

  private static final double MAX_DRAWN_SHARE = 0.3;

  /** Longer than any scenario. */
  private static final double UNTIL_THE_END_SECONDS = 100_000;

  private CopiedCommands() {}

  /** The lines, with a share of the messages copied, each up to well over a lease late. */
  static List<String> with(double share, List<String> lines) {
    return with(DelayedCopies.Kind.COMMANDS, share, lines);
  }

  /** The lines, with a share of the messages of a kind copied. */
  static List<String> with(DelayedCopies.Kind kind, double share, List<String> lines) {
    List<String> added = new ArrayList<>(lines);
    added.add(
        String.format(
            Locale.ROOT,
            "at 0 %s %.3f %.1f %.1f %.0f",
            NetworkCommands.nameOfCopies(kind),
            share,
            MIN_DELAY_SECONDS,
            MAX_DELAY_SECONDS,
            UNTIL_THE_END_SECONDS));
    return added;
  }

  /** The lines of a random scenario; on half of the seeds, with a random share copied. */
  static List<String> drawn(long seed, List<String> lines) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(~seed);
    return random.nextBoolean() ? with(MAX_DRAWN_SHARE * random.nextDouble(), lines) : lines;
  }
}
