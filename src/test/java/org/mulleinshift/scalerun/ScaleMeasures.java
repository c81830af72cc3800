package org.mulleinshift.scalerun;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.mulleinshift.invariants.ObservedJob;

/** Latencies seen by users, over all cells of a process, in milliseconds. */
final class ScaleMeasures {
  private static final long MAX_MILLIS = 3_600_000;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Map<String, Histogram> starts = new ConcurrentHashMap<>();
  private final Map<String, Histogram> firstStarts = new ConcurrentHashMap<>();
  private final Histogram accepted = new ConcurrentHistogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
  private volatile double measuredFrom = Double.MAX_VALUE;

  /**
   * Counters of a cell's simulated services and workers.
   *
   * @param workerBytes bytes of heartbeats, commands and their responses
   * @param workersThreadSeconds processor time of the thread that simulates workers, cloud and
   *     users
   * @param storeThreadSeconds processor time of the thread that simulates the key-value store
   * @param machines machines that are running
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

  /** Records only jobs submitted at or after this time. */
  void measureFrom(double seconds) {
    measuredFrom = seconds;
  }

  private static Histogram histogram() {
    return new ConcurrentHistogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
  }

  private static void record(Histogram histogram, double seconds) {
    histogram.recordValue(Math.min(MAX_MILLIS, Math.max(0, Math.round(seconds * 1000))));
  }

  /** Records the start of a task of the job. */
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

  /**
   * Records the latency of a job's acceptance. Does nothing if its user has already been told that
   * it has ended.
   */
  void recordAcceptance(ObservedJob job) {
    if (job.submittedAt() >= measuredFrom && job.terminalAt().isEmpty()) {
      record(accepted, job.acceptedAt().getAsDouble() - job.submittedAt());
    }
  }

  /** Time from submission to each task start, by job class. */
  Map<String, Histogram> starts() {
    return starts;
  }

  /** Time from submission to a job's first task start, by job class. */
  Map<String, Histogram> firstStarts() {
    return firstStarts;
  }

  /** Time from submission to acceptance. */
  Histogram accepted() {
    return accepted;
  }
}
