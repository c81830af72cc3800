package org.mulleinshift.scheduling;

import java.util.List;
import java.util.function.Predicate;
import org.mulleinshift.model.Job;

/**
 * Assigns capacity to classes and teams that are below their minimum share, before jobs are served
 * in ranking order.
 */
final class MinimumSharePass {
  private final TaskAssigner assigner;

  MinimumSharePass(TaskAssigner assigner) {
    this.assigner = assigner;
  }

  /** Assigns tasks of eligible jobs, in ranking order, up to what their class or team may claim. */
  void run(CycleState cycle, Predicate<Job> eligible) {
    for (EntityGroup group : cycle.shares().groups()) {
      List<Job> claimants = group.hasClaims() ? cycle.rankedJobs() : List.of();
      for (Job job : claimants) {
        double sharePerTask = cycle.shares().shareOfTask(job);
        int maxTasks = group.claimableTasks(job, sharePerTask);
        if (maxTasks > 0 && job.waitingCount() > 0 && eligible.test(job)) {
          group.consumeClaim(job, sharePerTask * assigner.assign(job, maxTasks, cycle));
        }
      }
    }
  }
}
