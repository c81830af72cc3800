package org.mulleinshift.autoscaling;

import java.util.List;
import org.mulleinshift.dependencies.ExpectedRelease;
import org.mulleinshift.model.Job;

/** The queue that the cluster is sized for. */
public interface Demand {
  /** Active jobs, the most urgent first. */
  List<Job> rankedJobs();

  /** Jobs that should be released by the end of their dependencies within the horizon. */
  List<ExpectedRelease> expectedReleases(double horizonSeconds);
}
