package org.mulleinshift.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mulleinshift.settings.SettingsException;

/**
 * Plays drawn scenarios. {@code -Dseeds=100-199} plays others; a failure names its seed and shows
 * its lines.
 */
final class RandomScenarioTest {
  private static final String FIXED = "1-24";

  static LongStream seeds() {
    return SeedRange.parse(System.getProperty("seeds", FIXED)).stream();
  }

  @ParameterizedTest(name = "chains, seed {0}")
  @MethodSource("seeds")
  void endsChains(long seed) throws SettingsException {
    play(RandomScenario.chainedLines(seed), seed);
  }

  @ParameterizedTest(name = "meetings, seed {0}")
  @MethodSource("seeds")
  void keepsRulesWhereTwoTroublesMeet(long seed) throws SettingsException {
    play(RandomScenario.pairedLines(seed), seed);
  }

  @ParameterizedTest(name = "further meetings, seed {0}")
  @MethodSource("seeds")
  void keepsRulesWhereFurtherTroublesMeet(long seed) throws SettingsException {
    play(RandomScenario.furtherLines(seed), seed);
  }

  @ParameterizedTest(name = "progress log, seed {0}")
  @MethodSource("seeds")
  void keepsRulesWhereWritesOfProgressAreLost(long seed) throws SettingsException {
    play(RandomScenario.loggedLines(seed), seed);
  }

  /**
   * The seed on which a block's next holder started what the one before had reported as ended,
   * while the write that told so was late: it ran twice.
   */
  @Test
  void anEndThatIsNotStoredYetIsNoStartForTheNextOwner() throws SettingsException {
    play(RandomScenario.loggedLines(50), 50);
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void keepsRulesAndEndsJobs(long seed) throws SettingsException {
    play(RandomScenario.lines(seed), seed);
  }

  private static void play(List<String> lines, long seed) throws SettingsException {
    assertEquals(
        List.of(), Scenario.play(lines, seed), "seed " + seed + "\n" + String.join("\n", lines));
  }
}
