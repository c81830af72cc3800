package org.mulleinshift.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.TeamId;

/**
 * The cases in which the protocol allows preemption (of jobs of lower priority, and of other teams'
 * tasks to reclaim a guarantee), and further restrictions of them.
 */
final class PreemptionPolicies {
  private PreemptionPolicies() {}

  /** Allows the preemption of jobs of strictly lower priority. */
  record LowerPriority(Job job) implements Preemption.Policy {
    @Override
    public boolean mayPreempt(Job other) {
      return job.priority().isAbove(other.priority());
    }

    @Override
    public void onPreempted(Job other) {
      // Priorities do not depend on what was preempted.
    }
  }

  /**
   * Restricts a policy to jobs that rank below the preempting job. A job that is too late for its
   * objectives ranks below jobs of lower priority: those would get back at once the capacity that
   * it preempts.
   */
  record LowerRanked(Preemption.Policy policy, int rank, JobRanking ranking)
      implements Preemption.Policy {
    @Override
    public boolean mayPreempt(Job other) {
      return rank < ranking.rank(other.spec().id()) && policy.mayPreempt(other);
    }

    @Override
    public void onPreempted(Job other) {
      policy.onPreempted(other);
    }
  }

  /**
   * Restricts a policy to jobs of the same entity and of entities that use more than their minimum
   * share. Otherwise tasks that were assigned for a minimum share would be preempted again at once.
   */
  static final class AboveMinimumShare implements Preemption.Policy {
    private final Preemption.Policy policy;
    private final Job job;
    private final EntityGroup group;
    private final ShareSnapshot shares;
    private final Map<String, Double> stoppedShares = new HashMap<>();

    AboveMinimumShare(
        Job job,
        Preemption.Policy policy,
        EntityGroup group,
        ShareSnapshot shares,
        PreemptionCandidates candidates) {
      this.job = job;
      this.policy = policy;
      this.group = group;
      this.shares = shares;
      candidates.forEachStopping(this::countStopping);
    }

    @Override
    public boolean mayPreempt(Job other) {
      double remaining =
          group.shareAboveMinimum(other)
              - stoppedShares.getOrDefault(group.entityNameOf(other), 0.0);
      boolean sameEntity = group.entityNameOf(other).equals(group.entityNameOf(job));
      return (sameEntity || remaining > 0) && policy.mayPreempt(other);
    }

    @Override
    public void onPreempted(Job other) {
      countStopping(other, 1);
      policy.onPreempted(other);
    }

    private void countStopping(Job other, int tasks) {
      stoppedShares.merge(
          group.entityNameOf(other), tasks * shares.shareOfTask(other), Double::sum);
    }
  }

  /**
   * Allows the preemption of tasks that another team runs beyond its own guarantee, and only down
   * to that guarantee. Stricter than the protocol: jobs of higher priority are excluded, and so are
   * jobs with a start-time objective, since each preemption would make them miss it.
   */
  static final class ReclaimGuarantee implements Preemption.Policy {
    private final Job job;
    private final JobRanking ranking;
    private final Predicate<Job> hasStartObjective;
    private final Map<TeamId, Double> excessCpus = new HashMap<>();

    ReclaimGuarantee(
        Job job,
        JobRanking ranking,
        Predicate<Job> hasStartObjective,
        TeamQuotas quotas,
        Map<TeamId, Resources> usageByTeam,
        PreemptionCandidates candidates) {
      this.job = job;
      this.ranking = ranking;
      this.hasStartObjective = hasStartObjective;
      usageByTeam.forEach(
          (team, used) -> excessCpus.put(team, used.cpus() - quotas.guaranteedCpus(team)));
      // Tasks that are already stopping no longer count as excess.
      candidates.forEachStopping(this::countStopping);
    }

    @Override
    public boolean mayPreempt(Job other) {
      return !other.spec().team().equals(job.spec().team())
          && !other.priority().isAbove(job.priority())
          && !hasStartObjective.test(other)
          && !ranking.withinGuarantee(other)
          && excessCpus.getOrDefault(other.spec().team(), 0.0) >= other.spec().perTask().cpus();
    }

    @Override
    public void onPreempted(Job other) {
      countStopping(other, 1);
    }

    private void countStopping(Job other, int tasks) {
      excessCpus.merge(other.spec().team(), -tasks * other.spec().perTask().cpus(), Double::sum);
    }
  }
}
