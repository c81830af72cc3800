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
 * Runs the random families with fixed seeds, or with those that {@code -Dseeds=100-199} gives; a
 * failure names the seed and shows the lines.
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
   * On this seed a task ran twice: its shard's owner had reported its end, but the write of that
   * end was late, and the next owner of the shard started it again.
   */
  @Test
  void anEndThatIsNotStoredYetIsNoStartForTheNextOwner() throws SettingsException {
    run(new ScenarioCatalog.Entry("drawn-progress-log", RandomScenario::progressLogLines), 50);
  }

  /** On this seed a task ran twice after a delayed copy of a heartbeat; see InheritedTasksTest. */
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
