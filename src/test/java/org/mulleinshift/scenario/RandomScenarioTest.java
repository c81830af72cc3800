package org.mulleinshift.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mulleinshift.settings.SettingsException;

/**
 * Plays drawn scenarios. {@code -Dseeds=100-199} plays others; a failure names its seed and shows
 * its lines.
 */
final class RandomScenarioTest {
  private static final String FIXED = "1-24";

  private static final String TEST = RandomScenarioTest.class.getSimpleName();
  private static final KnownFailures KNOWN = KnownFailures.read();

  static Stream<Arguments> plays() {
    SeedRange seeds = SeedRange.parse(System.getProperty("seeds", FIXED));
    return ScenarioCatalog.randomFamilies().stream()
        .flatMap(
            family ->
                KNOWN
                    .withKnownSeeds(seeds.stream(), TEST, family.name())
                    .mapToObj(seed -> Arguments.of(family, seed)));
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("plays")
  void keepsRulesAndEndsJobs(ScenarioCatalog.Entry family, long seed) throws SettingsException {
    run(family, seed);
  }

  /**
   * The seed on which a block's next holder started what the one before had reported as ended,
   * while the write that told so was late: it ran twice.
   */
  @Test
  void anEndThatIsNotStoredYetIsNoStartForTheNextOwner() throws SettingsException {
    run(new ScenarioCatalog.Entry("drawn-progress-log", RandomScenario::progressLogLines), 50);
  }

  /** The seed on which a task ran twice after a late copy of a report, see InheritedTasksTest. */
  @Test
  void aTaskThatALateCopyListsIsNotLost() throws SettingsException {
    run(new ScenarioCatalog.Entry("drawn-meetings", RandomScenario::overlappingFaultLines), 2187);
  }

  private static void run(ScenarioCatalog.Entry family, long seed) throws SettingsException {
    List<String> lines = family.lines().apply(seed);
    KnownFailures.Verdict verdict =
        KNOWN.judge(TEST, family.name(), seed, Scenario.execute(lines, seed));
    assertEquals(List.of(), verdict.problems(), "seed " + seed + "\n" + String.join("\n", lines));
    assumeTrue(verdict.excused().isEmpty(), () -> "known red: " + verdict.excused());
  }
}
