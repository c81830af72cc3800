package org.mulleinshift.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.mulleinshift.bookkeeping.Job;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.TeamId;
import org.mulleinshift.settings.PlatformSettings;

/**
 * The order in which jobs get room: priority, then guarantee, then who can make its deadline; last
 * those that fail everywhere, which also use up nothing of a guarantee.
 */
final class Ranking {
  private final List<Job> order;
  private final Map<JobId, Integer> ranks = new HashMap<>();
  private final Set<JobId> guaranteed = new HashSet<>();

  private Ranking(List<Job> order) {
    this.order = order;
  }

  static Ranking of(
      Collection<Job> jobs,
      Predicate<Job> blamed,
      Map<String, PlatformSettings.Team> teams,
      RunTimes runTimes,
      long nowMillis) {
    List<Job> order = new ArrayList<>(jobs);
    order.sort(Comparator.comparingLong(Job::acceptedMillis).thenComparing(j -> j.spec().id()));
    Ranking ranking = new Ranking(order);
    Map<TeamId, Resources> earlier = new HashMap<>();
    for (Job job : order) {
      if (blamed.test(job)) {
        continue;
      }
      Resources need = job.spec().perTask().times(job.spec().tasks() - job.doneCount());
      Resources sum = earlier.merge(job.spec().team(), need, Resources::plus);
      PlatformSettings.Team team = teams.get(job.spec().team().value());
      if (team != null && sum.cpus() <= team.cpus() + 1e-6 && sum.gpus() <= team.gpus() + 1e-6) {
        ranking.guaranteed.add(job.spec().id());
      }
    }
    Map<JobId, Boolean> late = new HashMap<>();
    for (Job job : order) {
      long expected = (long) (runTimes.expectedSeconds(job) * 1000);
      late.put(job.spec().id(), job.dueMillis() < nowMillis + expected);
    }
    order.sort(
        Comparator.<Job>comparingInt(job -> blamed.test(job) ? 1 : 0)
            .thenComparingInt(job -> job.spec().priority().ordinal())
            .thenComparing(job -> ranking.guaranteed(job) ? 0 : 1)
            .thenComparing(job -> late.get(job.spec().id()) ? 1 : 0)
            .thenComparingLong(Job::dueMillis));
    order.forEach(job -> ranking.ranks.put(job.spec().id(), ranking.ranks.size()));
    return ranking;
  }

  /** Most urgent first. */
  List<Job> order() {
    return order;
  }

  /** The job's place in the order; one that came since is last. */
  int rank(JobId job) {
    return ranks.getOrDefault(job, ranks.size());
  }

  /** Whether the job fits into its team's guarantee together with the team's earlier jobs. */
  boolean guaranteed(Job job) {
    return guaranteed.contains(job.spec().id());
  }
}
