package org.mulleinshift.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.JobSpec;

/**
 * Expected run times: a job's own finished tasks say most, else its class's ratio of run time to
 * the owner's guess, else the guess alone.
 */
public final class RunTimeEstimator {
  private static final double WEIGHT = 0.1;
  private static final double MIN_RATIO = 0.2;
  private static final double MAX_RATIO = 5;
  private static final double UNKNOWN_SECONDS = 60;

  private final Map<String, Double> ratios = new HashMap<>();

  public void onTaskDone(JobSpec spec, double seconds) {
    if (spec.estimateSeconds() > 0 && seconds > 0) {
      double ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, seconds / spec.estimateSeconds()));
      ratios.merge(spec.jobClass(), ratio, (old, seen) -> old * (1 - WEIGHT) + seen * WEIGHT);
    }
  }

  /** What was learned, by class; at most so many. */
  public Map<String, Double> ratios(int most) {
    Map<String, Double> some = new TreeMap<>();
    ratios.entrySet().stream().limit(most).forEach(e -> some.put(e.getKey(), e.getValue()));
    return some;
  }

  /** What another leader learned. */
  public void learn(String jobClass, double ratio) {
    if (ratio >= MIN_RATIO && ratio <= MAX_RATIO) {
      ratios.put(jobClass, ratio);
    }
  }

  /** What a task should still take; one past its expected end frees nothing to count on. */
  public static double remaining(double expected, double ran) {
    return ran > expected ? expected / 2 : expected - ran;
  }

  public double expectedSeconds(Job job) {
    double guess = job.spec().estimateSeconds();
    double byClass =
        guess > 0 ? guess * ratios.getOrDefault(job.spec().jobClass(), 1.0) : UNKNOWN_SECONDS;
    return job.meanRunSeconds().orElse(byClass);
  }
}
