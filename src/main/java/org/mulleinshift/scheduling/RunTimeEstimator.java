package org.mulleinshift.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.JobSpec;

/**
 * Estimates run times of tasks: by the job's own finished tasks if there are any, else by the
 * submitted estimate and its class's ratio of run times to estimates.
 */
public final class RunTimeEstimator {
  /** Of the latest task in the moving average. */
  private static final double LATEST_WEIGHT = 0.1;

  private static final double MIN_RATIO = 0.2;
  private static final double MAX_RATIO = 5;
  private static final double DEFAULT_SECONDS = 60;

  private final Map<String, Double> ratioByClass = new HashMap<>();

  /** A task of the job finished after so many seconds. */
  public void onTaskDone(JobSpec spec, double seconds) {
    if (spec.estimateSeconds() > 0 && seconds > 0) {
      double ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, seconds / spec.estimateSeconds()));
      ratioByClass.merge(
          spec.jobClass(),
          ratio,
          (mean, latest) -> mean * (1 - LATEST_WEIGHT) + latest * LATEST_WEIGHT);
    }
  }

  /** The learned ratios of run time to estimate, by class; at most so many. */
  public Map<String, Double> ratios(int maxClasses) {
    Map<String, Double> selected = new TreeMap<>();
    ratioByClass.entrySet().stream()
        .limit(maxClasses)
        .forEach(ratio -> selected.put(ratio.getKey(), ratio.getValue()));
    return selected;
  }

  /** Takes over a ratio that another leader learned; ignores one out of range. */
  public void adoptRatio(String jobClass, double ratio) {
    if (ratio >= MIN_RATIO && ratio <= MAX_RATIO) {
      ratioByClass.put(jobClass, ratio);
    }
  }

  /**
   * How many seconds a task should still run. One past its expected end is not counted on to end
   * soon.
   */
  public static double remainingSeconds(double expectedSeconds, double ranSeconds) {
    return ranSeconds > expectedSeconds ? expectedSeconds / 2 : expectedSeconds - ranSeconds;
  }

  /** How many seconds a task of the job should run. */
  public double expectedSeconds(Job job) {
    double estimate = job.spec().estimateSeconds();
    double fromEstimate =
        estimate > 0
            ? estimate * ratioByClass.getOrDefault(job.spec().jobClass(), 1.0)
            : DEFAULT_SECONDS;
    return job.meanRunSeconds().orElse(fromEstimate);
  }
}
