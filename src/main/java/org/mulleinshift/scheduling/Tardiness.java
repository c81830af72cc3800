package org.mulleinshift.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.model.Job;
import org.mulleinshift.settings.PlatformSettings;

/**
 * How late a job will be at the least, and how long that may put it behind others: a queue of late
 * jobs must not make all that come after them late, too, nor may a late job wait for ever.
 */
final class Tardiness {
  /** As far as can be told; the earlier grade is served first. */
  enum Grade {
    ON_TIME(0),
    /** By the most times its deadline that the class has an aim for. */
    WITHIN_TOLERANCE(1),
    LATE(2);

    private final int rank;

    Grade(int rank) {
      this.rank = rank;
    }

    /** Its place in the order of grades; 0 is served first. */
    int rank() {
      return rank;
    }
  }

  /**
   * To find room for all tasks and start them; without it, jobs served at the last moment are all
   * late.
   */
  private static final double START_SECONDS = 4;

  /** The last of a job's tasks takes longer than the mean. */
  private static final double SPREAD = 1.1;

  /** Seconds of a job's slack that a second of the whole fleet is worth. */
  private static final double WORK_WEIGHT = 60;

  private final RunTimeEstimator runTimes;
  private final Map<String, Double> toleranceFactors = new HashMap<>();
  private final double overdueMillis;

  Tardiness(
      RunTimeEstimator runTimes,
      List<PlatformSettings.Objective> objectives,
      double overdueSeconds) {
    this.runTimes = runTimes;
    this.overdueMillis = 1000 * overdueSeconds;
    for (PlatformSettings.Objective objective : objectives) {
      objective
          .jobClass()
          .ifPresent(
              name -> toleranceFactors.merge(name, Math.max(1, objective.times()), Math::max));
    }
  }

  /**
   * A job's place among those of its priority and guarantee.
   *
   * @param order the order of jobs of one grade; lower is served first. The seconds until the job's
   *     last start, and what its waiting tasks ask for in seconds of the whole fleet, weighted.
   *     Without the first a large job waits too long on a day that has room for it; without the
   *     second all are late on one that has not
   */
  record Position(Grade grade, double order) {}

  /** By the time of day. */
  Position position(Job job, MinimumShares.Snapshot picture, long nowMillis) {
    double expected = runTimes.expectedSeconds(job);
    double slack = (job.deadlineMillis() - nowMillis) / 1000.0 - expected;
    double workLeft = picture.share(job) * job.waitingCount() * expected;
    return new Position(grade(job, expected, nowMillis), slack + WORK_WEIGHT * workLeft);
  }

  /** One that is long overdue counts as in time: it has waited enough. */
  private Grade grade(Job job, double expected, long nowMillis) {
    double end = nowMillis + 1000 * (START_SECONDS + SPREAD * expected);
    if (end <= job.deadlineMillis() || nowMillis - job.deadlineMillis() > overdueMillis) {
      return Grade.ON_TIME;
    }
    double allowed = job.deadlineMillis() - job.acceptedMillis();
    double last =
        job.acceptedMillis() + allowed * toleranceFactors.getOrDefault(job.spec().jobClass(), 1.0);
    return end <= last ? Grade.WITHIN_TOLERANCE : Grade.LATE;
  }
}
