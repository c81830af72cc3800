package org.mulleinshift.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.TeamId;

/** The two cases in which the protocol lets work be stopped to make room. */
final class PreemptionPolicies {
  private PreemptionPolicies() {}

  /** Only work of strictly lower priority. */
  record LowerPriority(Job job) implements Preemption.Policy {
    @Override
    public boolean mayPreempt(Job other) {
      return job.priority().above(other.priority());
    }

    @Override
    public void onPreempted(Job other) {
      // Priorities do not change with what was stopped.
    }
  }

  /**
   * What a rule allows, but only work that comes after the job: what is too late for its aims comes
   * after less urgent work, and would stop what gets its room again at once.
   */
  record LowerRanked(Preemption.Policy rule, int rank, JobRanking ranking)
      implements Preemption.Policy {
    @Override
    public boolean mayPreempt(Job other) {
      return rank < ranking.rank(other.spec().id()) && rule.mayPreempt(other);
    }

    @Override
    public void onPreempted(Job other) {
      rule.onPreempted(other);
    }
  }

  /**
   * What a rule allows, but nothing of the floor of another party: what was given to the floor
   * would be stopped again in the same moment.
   */
  static final class AboveMinimumShare implements Preemption.Policy {
    private final Preemption.Policy rule;
    private final Job job;
    private final MinimumShares.EntityGroup side;
    private final MinimumShares.Snapshot picture;
    private final Map<String, Double> stopped = new HashMap<>();

    AboveMinimumShare(
        Job job,
        Preemption.Policy rule,
        MinimumShares.EntityGroup side,
        MinimumShares.Snapshot picture,
        Preemption.Pass round) {
      this.job = job;
      this.rule = rule;
      this.side = side;
      this.picture = picture;
      round.forEachStopping(this::count);
    }

    @Override
    public boolean mayPreempt(Job other) {
      double left = side.aboveMinimum(other) - stopped.getOrDefault(side.entityOf(other), 0.0);
      boolean own = side.entityOf(other).equals(side.entityOf(job));
      return (own || left > 0) && rule.mayPreempt(other);
    }

    @Override
    public void onPreempted(Job other) {
      count(other, 1);
      rule.onPreempted(other);
    }

    private void count(Job other, int tasks) {
      stopped.merge(side.entityOf(other), tasks * picture.share(other), Double::sum);
    }
  }

  /**
   * Only work that another team runs beyond its own guarantee, and only down to that. Narrower than
   * the protocol allows: nothing more urgent, and nothing that itself has a start aim, which each
   * stop would miss.
   */
  static final class ReclaimGuarantee implements Preemption.Policy {
    private final Job job;
    private final JobRanking ranking;
    private final Predicate<Job> startsSoon;
    private final Map<TeamId, Double> excess = new HashMap<>();

    ReclaimGuarantee(
        Job job,
        JobRanking ranking,
        Predicate<Job> startsSoon,
        TeamQuotas quota,
        Map<TeamId, Resources> inUse,
        Preemption.Pass round) {
      this.job = job;
      this.ranking = ranking;
      this.startsSoon = startsSoon;
      inUse.forEach((team, used) -> excess.put(team, used.cpus() - quota.guaranteedCpus(team)));
      // What is being stopped already no longer counts.
      round.forEachStopping(this::stopped);
    }

    @Override
    public boolean mayPreempt(Job other) {
      return !other.spec().team().equals(job.spec().team())
          && !other.priority().above(job.priority())
          && !startsSoon.test(other)
          && !ranking.withinGuarantee(other)
          && excess.getOrDefault(other.spec().team(), 0.0) >= other.spec().perTask().cpus();
    }

    @Override
    public void onPreempted(Job other) {
      stopped(other, 1);
    }

    private void stopped(Job other, int count) {
      excess.merge(other.spec().team(), -count * other.spec().perTask().cpus(), Double::sum);
    }
  }
}
