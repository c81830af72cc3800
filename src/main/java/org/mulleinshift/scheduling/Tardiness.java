package org.mulleinshift.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.model.Job;
import org.mulleinshift.settings.PlatformSettings;

/**
 * How late a job will be at best, and for how long that may put it behind others: a queue of late
 * jobs must not make all that come after them late, too, nor may a late job wait for ever.
 */
final class Tardiness {
  /** How late a job is expected to be; the earlier grade is served first. */
  enum Lateness {
    ON_TIME(0),
    /** Late, but within the multiple of its deadline that its class's objectives tolerate. */
    WITHIN_TOLERANCE(1),
    LATE(2);

    private final int rank;

    Lateness(int rank) {
      this.rank = rank;
    }

    /** Its place in the order of grades; 0 is served first. */
    int rank() {
      return rank;
    }
  }

  /**
   * Time to find capacity for all tasks and start them; without it, jobs served at the last moment
   * are all late.
   */
  private static final double START_LATENCY_SECONDS = 4;

  /** How much longer than the mean the last of a job's tasks takes. */
  private static final double SLOWEST_TASK_FACTOR = 1.1;

  /** Seconds of a job's slack that a second of the whole cluster is worth. */
  private static final double WORK_WEIGHT = 60;

  private static final double MILLIS_PER_SECOND = 1000.0;

  private final RunTimeEstimator runTimes;
  private final Map<String, Double> toleranceFactors = new HashMap<>();
  private final double overdueMillis;

  /**
   * Tardiness by the objectives of a deployment.
   *
   * @param overdueSeconds a job that is later than this counts as on time again
   */
  Tardiness(
      RunTimeEstimator runTimes,
      List<PlatformSettings.Objective> objectives,
      double overdueSeconds) {
    this.runTimes = runTimes;
    this.overdueMillis = MILLIS_PER_SECOND * overdueSeconds;
    for (PlatformSettings.Objective objective : objectives) {
      objective
          .jobClass()
          .ifPresent(
              name ->
                  toleranceFactors.merge(name, Math.max(1, objective.deadlineFactor()), Math::max));
    }
  }

  /**
   * A job's place among those of its priority and guarantee.
   *
   * @param weightedSlackSeconds the order of jobs of one grade; lower is served first. The seconds
   *     until the job's last start, plus what its waiting tasks take in seconds of the whole
   *     cluster, weighted. Without the first a large job waits too long when there is capacity for
   *     it; without the second all jobs are late when there is not
   */
  record RankingKey(Lateness lateness, double weightedSlackSeconds) {}

  /** The job's place at a time of day. */
  RankingKey rankingKey(Job job, ShareSnapshot shares, long nowMillis) {
    double expectedSeconds = runTimes.expectedSeconds(job);
    double slackSeconds = (job.deadlineMillis() - nowMillis) / MILLIS_PER_SECOND - expectedSeconds;
    double remainingClusterSeconds = shares.shareOfTask(job) * job.waitingCount() * expectedSeconds;
    return new RankingKey(
        lateness(job, expectedSeconds, nowMillis),
        slackSeconds + WORK_WEIGHT * remainingClusterSeconds);
  }

  /** A job that is long overdue counts as on time: it has waited enough. */
  private Lateness lateness(Job job, double expectedSeconds, long nowMillis) {
    double expectedEndMillis =
        nowMillis
            + MILLIS_PER_SECOND * (START_LATENCY_SECONDS + SLOWEST_TASK_FACTOR * expectedSeconds);
    if (expectedEndMillis <= job.deadlineMillis()
        || nowMillis - job.deadlineMillis() > overdueMillis) {
      return Lateness.ON_TIME;
    }
    double allowedMillis = job.deadlineMillis() - job.acceptedMillis();
    double latestEndMillis =
        job.acceptedMillis()
            + allowedMillis * toleranceFactors.getOrDefault(job.spec().jobClass(), 1.0);
    return expectedEndMillis <= latestEndMillis ? Lateness.WITHIN_TOLERANCE : Lateness.LATE;
  }
}
