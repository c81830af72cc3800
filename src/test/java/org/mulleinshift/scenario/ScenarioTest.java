package org.mulleinshift.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mulleinshift.settings.SettingsException;

/**
 * Runs every scenario file with a few fixed seeds, the seeds that the file names, and the seeds for
 * which the list of known failures has an entry. {@code -Dscenario=07} runs only the files whose
 * names start so.
 */
final class ScenarioTest {
  private static final String TEST = ScenarioTest.class.getSimpleName();
  private static final int SEEDS = 3;
  private static final KnownFailures KNOWN = KnownFailures.read();

  static List<ScenarioCatalog.Entry> scenarios() throws IOException {
    return ScenarioCatalog.selectedFiles();
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("scenarios")
  void keepsRulesAndExpectations(ScenarioCatalog.Entry scenario) throws SettingsException {
    List<String> excused = new ArrayList<>();
    for (long seed : seeds(scenario)) {
      List<String> failures = Scenario.execute(scenario.lines().apply(seed), seed);
      KnownFailures.Verdict verdict = KNOWN.judge(TEST, scenario.name(), seed, failures);
      assertEquals(List.of(), verdict.problems(), scenario.name() + " with seed " + seed);
      excused.addAll(verdict.excused());
    }
    assumeTrue(excused.isEmpty(), () -> "known red: " + scenario.name() + " " + excused);
  }

  private static long[] seeds(ScenarioCatalog.Entry scenario) {
    LongStream fixed = LongStream.rangeClosed(1, SEEDS);
    LongStream named = LongStream.concat(fixed, scenario.namedSeeds());
    return KNOWN.withKnownSeeds(named, TEST, scenario.name()).toArray();
  }
}
