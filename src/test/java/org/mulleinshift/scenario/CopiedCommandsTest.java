package org.mulleinshift.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mulleinshift.settings.SettingsException;

/**
 * Runs every scenario file with a share of the direct messages copied, on one seed. {@code
 * -Dscenario=07} runs only the files whose names start so.
 */
final class CopiedCommandsTest {
  private static final String TEST = CopiedCommandsTest.class.getSimpleName();
  private static final long SEED = 1;
  private static final double COPIED_SHARE = 0.1;
  private static final KnownFailures KNOWN = KnownFailures.read();

  static List<ScenarioCatalog.Entry> scenarios() throws IOException {
    return ScenarioCatalog.selectedFiles();
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("scenarios")
  void copiesOfWhatWasCarriedOutHaveNoEffect(ScenarioCatalog.Entry scenario)
      throws SettingsException {
    List<String> lines = CopiedCommands.with(COPIED_SHARE, scenario.lines().apply(SEED));
    KnownFailures.Verdict verdict =
        KNOWN.judge(TEST, scenario.name(), SEED, Scenario.execute(lines, SEED));
    assertEquals(List.of(), verdict.problems(), scenario.name());
    assumeTrue(verdict.excused().isEmpty(), () -> "known red: " + verdict.excused());
  }
}
