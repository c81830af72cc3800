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
 * Bounds the time that a cluster is without a leader after a fault. Prints the distribution over
 * the runs of each kind of fault; {@code -Dtakeovers=200} sets the number of runs per kind.
 */
final class FailoverTest {
  private static final int RUNS = Integer.getInteger("takeovers", 3);

  @ParameterizedTest(name = "{0} controllers, {1}: {2} ms at the median, {3} ms at most")
  @CsvSource({
    "3, crash leader 60, 1500, 2500",
    "5, crash leader 60, 1500, 2500",
    "3, crash leader 3, 1500, 2500",
    "5, stall leader 7, 1500, 2500",
    "3, cut leader state 45 hold, 1500, 2500",
    "5, cut leader * 30 drop, 1500, 2500",
  })
  void leaderIsReplacedSoon(int controllerCount, String fault, int medianMillis, int maxMillis)
      throws SettingsException {
    Histogram termMillis = new Histogram(60_000, 3);
    Histogram progressMillis = new Histogram(60_000, 3);
    for (int seed = 1; seed <= RUNS; seed++) {
      double at = 40 + 5.0 * seed / RUNS;
      List<String> lines = new ArrayList<>();
      lines.add("nodes " + controllerCount);
      lines.add("type small cpus=8 boot=8 a=20 b=20");
      lines.add("team t max=0");
      lines.add("state rps=300 writes=90");
      lines.add("at 2 swarm run-5 240 0.25 tasks=4 cpus=2 run=15 due=300");
      lines.add(String.format(Locale.ROOT, "at %.3f %s", at, fault));
      lines.add("run 65");
      Scenario.Failover failover = Scenario.measureFailover(lines, seed, at);
      assertEquals(List.of(), failover.failures(), "seed " + seed);
      termMillis.recordValue(millis(failover.secondsToNewTerm()));
      progressMillis.recordValue(millis(failover.secondsToProgress()));
    }
    report(controllerCount + " controllers, " + fault + ", term", termMillis);
    report(controllerCount + " controllers, " + fault + ", first task", progressMillis);
    assertTrue(
        termMillis.getValueAtPercentile(50) <= medianMillis,
        "median " + termMillis.getValueAtPercentile(50));
    assertTrue(termMillis.getMaxValue() <= maxMillis, "most " + termMillis.getMaxValue());
  }

  private static long millis(double seconds) {
    return Math.min(60_000, Math.round(1000 * seconds));
  }

  private static void report(String name, Histogram histogram) {
    System.out.printf(
        Locale.ROOT,
        "%s: median %d ms, 90%% %d ms, most %d ms of %d%n",
        name,
        histogram.getValueAtPercentile(50),
        histogram.getValueAtPercentile(90),
        histogram.getMaxValue(),
        histogram.getTotalCount());
  }
}
