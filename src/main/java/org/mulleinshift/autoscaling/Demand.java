package org.mulleinshift.autoscaling;

import java.util.List;
import org.mulleinshift.dependencies.ExpectedRelease;
import org.mulleinshift.model.Job;

/** The queue that the cluster is sized for. */
public interface Demand {
  /** Returns the ranked jobs, the most urgent first. */
  List<Job> rankedJobs();

  /** Returns the waiting jobs whose dependencies should end within the horizon. */
  List<ExpectedRelease> expectedReleases(double horizonSeconds);
}
