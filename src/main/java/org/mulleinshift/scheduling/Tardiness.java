package org.mulleinshift.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.model.Job;
import org.mulleinshift.settings.PlatformSettings;

/**
 * Determines how late a job is expected to be and how that ranks it among others. Jobs that are
 * already late must not delay all later ones as well, and a late job must not wait forever.
 */
final class Tardiness {
  /** The expected lateness of a job; earlier values are served first. */
  enum Lateness {
    ON_TIME(0),
    /**
     * Late, but by no more than the multiple of its deadline that its class's objectives tolerate.
     */
    WITHIN_TOLERANCE(1),
    LATE(2);

    private final int rank;

    Lateness(int rank) {
      this.rank = rank;
    }

    /** Its position in the serving order; 0 is served first. */
    int rank() {
      return rank;
    }
  }

  /**
   * Time to find capacity for all tasks and start them. Without it, jobs that are served at the
   * last moment are all late.
   */
  private static final double START_LATENCY_SECONDS = 4;

  /** The run time of the slowest of a job's tasks, as a multiple of the mean. */
  private static final double SLOWEST_TASK_FACTOR = 1.1;

  /** How many seconds of slack one second of work of the whole cluster counts as. */
  private static final double WORK_WEIGHT = 60;

  private static final double MILLIS_PER_SECOND = 1000.0;

  private final RunTimeEstimator runTimes;
  private final Map<String, Double> toleranceFactors = new HashMap<>();
  private final double overdueMillis;

  /**
   * Takes tolerances from the objectives of a deployment.
   *
   * @param overdueSeconds a job that is further past its deadline counts as on time again
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
   * Sort keys of a job among those of equal priority and guarantee.
   *
   * @param weightedSlackSeconds orders jobs of equal lateness, the lowest first: the seconds until
   *     the job's latest start, plus the weighted time that the whole cluster would need for its
   *     waiting tasks. Without the first term, large jobs wait too long while there is capacity for
   *     them; without the second, all jobs are late when there is not enough
   */
  record RankingKey(Lateness lateness, double weightedSlackSeconds) {}

  /** Computes the job's sort keys at a time of day. */
  RankingKey rankingKey(Job job, ShareSnapshot shares, long nowMillis) {
    double expectedSeconds = runTimes.expectedSeconds(job);
    double slackSeconds = (job.deadlineMillis() - nowMillis) / MILLIS_PER_SECOND - expectedSeconds;
    double remainingClusterSeconds = shares.shareOfTask(job) * job.waitingCount() * expectedSeconds;
    return new RankingKey(
        lateness(job, expectedSeconds, nowMillis),
        slackSeconds + WORK_WEIGHT * remainingClusterSeconds);
  }

  /** A job that is long overdue counts as on time, so that it does not wait any longer. */
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
