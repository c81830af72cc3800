package org.mulleinshift.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mulleinshift.settings.SettingsException;

/**
 * Runs scenarios of the table of link cuts: a fixed sample, or the numbers that {@code
 * -Dcuts=0-4049} gives.
 */
final class CutScenarioTest {
  private static final int SAMPLE = 40;

  static IntStream numbers() {
    String asked = System.getProperty("cuts", "");
    if (asked.isEmpty()) {
      // A stride coprime to the number of combinations samples the values of every column.
      return IntStream.range(0, SAMPLE).map(i -> (int) (i * 1009L % CutScenario.COUNT));
    }
    String[] ends = asked.split("-", 0);
    return IntStream.rangeClosed(
        Integer.parseInt(ends[0]), Integer.parseInt(ends[ends.length - 1]));
  }

  @ParameterizedTest(name = "cut {0}")
  @MethodSource("numbers")
  void keepsRulesAndEndsJobs(int number) throws SettingsException {
    List<String> lines = CutScenario.lines(number);
    assertEquals(
        List.of(), Scenario.execute(lines, number + 1), number + "\n" + String.join("\n", lines));
  }
}
