package org.mulleinshift.scalerun;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.mulleinshift.invariants.ObservedJob;

/** What users see, over all cells of a process; times in milliseconds. */
final class ScaleMeasures {
  private static final long MAX_MILLIS = 3_600_000;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Map<String, Histogram> starts = new ConcurrentHashMap<>();
  private final Map<String, Histogram> firstStarts = new ConcurrentHashMap<>();
  private final Histogram accepted = new ConcurrentHistogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
  private volatile double measuredFrom = Double.MAX_VALUE;

  /**
   * Counters of a cell's stand-ins.
   *
   * @param workerBytes bytes of reports, orders and their answers
   * @param workersThreadSeconds processor time of the thread of workers, cloud and users
   * @param storeThreadSeconds processor time of the thread of the state service
   * @param machines workers that are up
   */
  record SimulatorCounters(
      long storeRequests,
      long storeWrites,
      long storeRateLimited,
      long storeBytes,
      long workerBytes,
      long workerConnections,
      long cloudBytes,
      double workersThreadSeconds,
      double storeThreadSeconds,
      int machines) {}

  /** Jobs submitted later than this count. */
  void measureFrom(double seconds) {
    measuredFrom = seconds;
  }

  private static Histogram histogram() {
    return new ConcurrentHistogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
  }

  private static void record(Histogram histogram, double seconds) {
    histogram.recordValue(Math.min(MAX_MILLIS, Math.max(0, Math.round(seconds * 1000))));
  }

  /** A task of the job starts. */
  void recordStart(ObservedJob job, double now) {
    if (job.submittedAt() < measuredFrom) {
      return;
    }
    String jobClass = job.text("class", "");
    record(starts.computeIfAbsent(jobClass, key -> histogram()), now - job.submittedAt());
    if (job.starts() == 1) {
      record(firstStarts.computeIfAbsent(jobClass, key -> histogram()), now - job.submittedAt());
    }
  }

  /** The job's user is told that it is accepted, or that it is over. */
  void recordAcceptance(ObservedJob job) {
    if (job.submittedAt() >= measuredFrom && job.terminalAt().isEmpty()) {
      record(accepted, job.acceptedAt().getAsDouble() - job.submittedAt());
    }
  }

  /** From the submission to each start, by class. */
  Map<String, Histogram> starts() {
    return starts;
  }

  /** From the submission to a job's first start, by class. */
  Map<String, Histogram> firstStarts() {
    return firstStarts;
  }

  /** From the submission to its answer. */
  Histogram accepted() {
    return accepted;
  }
}
