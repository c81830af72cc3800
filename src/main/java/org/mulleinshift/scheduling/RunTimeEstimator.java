package org.mulleinshift.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.JobSpec;

/**
 * Estimates the run times of tasks: from the job's own completed tasks if there are any, otherwise
 * from the submitted estimate, corrected by the ratio of run time to estimate that was learned for
 * the job's class.
 */
public final class RunTimeEstimator {
  /** Weight of the latest task in the moving average. */
  private static final double LATEST_WEIGHT = 0.1;

  private static final double MIN_RATIO = 0.2;
  private static final double MAX_RATIO = 5;
  private static final double DEFAULT_SECONDS = 60;

  private final Map<String, Double> ratioByClass = new HashMap<>();

  /**
   * Records the run time of a completed task; ignored without a submitted estimate or a known run
   * time.
   */
  public void onTaskDone(JobSpec spec, double seconds) {
    if (spec.estimateSeconds() > 0 && seconds > 0) {
      double ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, seconds / spec.estimateSeconds()));
      ratioByClass.merge(
          spec.jobClass(),
          ratio,
          (mean, latest) -> mean * (1 - LATEST_WEIGHT) + latest * LATEST_WEIGHT);
    }
  }

  /** The learned ratios of run time to estimate, for at most {@code maxClasses} classes. */
  public Map<String, Double> ratios(int maxClasses) {
    Map<String, Double> selected = new TreeMap<>();
    ratioByClass.entrySet().stream()
        .limit(maxClasses)
        .forEach(ratio -> selected.put(ratio.getKey(), ratio.getValue()));
    return selected;
  }

  /** Adopts a ratio that another leader learned; one that is out of range is ignored. */
  public void adoptRatio(String jobClass, double ratio) {
    if (ratio >= MIN_RATIO && ratio <= MAX_RATIO) {
      ratioByClass.put(jobClass, ratio);
    }
  }

  /**
   * The expected remaining run time of a task, in seconds. A task past its expected end is not
   * assumed to end soon: half of the expected run time remains.
   */
  public static double remainingSeconds(double expectedSeconds, double ranSeconds) {
    return ranSeconds > expectedSeconds ? expectedSeconds / 2 : expectedSeconds - ranSeconds;
  }

  /** The expected run time of a task of the job, in seconds. */
  public double expectedSeconds(Job job) {
    double estimate = job.spec().estimateSeconds();
    double fromEstimate =
        estimate > 0
            ? estimate * ratioByClass.getOrDefault(job.spec().jobClass(), 1.0)
            : DEFAULT_SECONDS;
    return job.meanRunSeconds().orElse(fromEstimate);
  }
}
