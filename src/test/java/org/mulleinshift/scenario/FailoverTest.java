package org.mulleinshift.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mulleinshift.settings.SettingsException;

/**
 * How long a fleet is without a leader, over many seeded takeovers: {@code -Dtakeovers=200} plays
 * so many of each kind and prints the distributions.
 */
final class FailoverTest {
  private static final int PLAYED = Integer.getInteger("takeovers", 3);

  @ParameterizedTest(name = "{0} controllers, {1}: {2} ms at the median, {3} ms at most")
  @CsvSource({
    "3, crash leader 60, 1500, 2500",
    "5, crash leader 60, 1500, 2500",
    "3, crash leader 3, 1500, 2500",
    "5, stall leader 7, 1500, 2500",
    "3, cut leader state 45 hold, 1500, 2500",
    "5, cut leader * 30 drop, 1500, 2500",
  })
  void leaderIsReplacedSoon(int nodes, String trouble, int median, int most)
      throws SettingsException {
    Histogram term = new Histogram(60_000, 3);
    Histogram task = new Histogram(60_000, 3);
    for (int seed = 1; seed <= PLAYED; seed++) {
      double at = 40 + 5.0 * seed / PLAYED;
      List<String> lines = new ArrayList<>();
      lines.add("nodes " + nodes);
      lines.add("type small cpus=8 boot=8 a=20 b=20");
      lines.add("team t max=0");
      lines.add("state rps=300 writes=90");
      lines.add("at 2 swarm run-5 240 0.25 tasks=4 cpus=2 run=15 due=300");
      lines.add(String.format(Locale.ROOT, "at %.3f %s", at, trouble));
      lines.add("run 65");
      Scenario.Failover found = Scenario.failover(lines, seed, at);
      assertEquals(List.of(), found.failures(), "seed " + seed);
      term.recordValue(millis(found.termSeconds()));
      task.recordValue(millis(found.taskSeconds()));
    }
    report(nodes + " controllers, " + trouble + ", term", term);
    report(nodes + " controllers, " + trouble + ", first task", task);
    assertTrue(term.getValueAtPercentile(50) <= median, "median " + term.getValueAtPercentile(50));
    assertTrue(term.getMaxValue() <= most, "most " + term.getMaxValue());
  }

  private static long millis(double seconds) {
    return Math.min(60_000, Math.round(1000 * seconds));
  }

  private static void report(String name, Histogram seen) {
    System.out.printf(
        Locale.ROOT,
        "%s: median %d ms, 90%% %d ms, most %d ms of %d%n",
        name,
        seen.getValueAtPercentile(50),
        seen.getValueAtPercentile(90),
        seen.getMaxValue(),
        seen.getTotalCount());
  }
}
