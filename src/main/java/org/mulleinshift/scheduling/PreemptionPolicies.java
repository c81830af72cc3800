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
  record ByPriority(Job job) implements Preemption.GivesWay {
    @Override
    public boolean mayStop(Job other) {
      return job.priority().above(other.priority());
    }

    @Override
    public void stopped(Job other) {
      // Priorities do not change with what was stopped.
    }
  }

  /**
   * What a rule allows, but only work that comes after the job: what is too late for its aims comes
   * after less urgent work, and would stop what gets its room again at once.
   */
  record Behind(Preemption.GivesWay rule, int rank, JobRanking ranking)
      implements Preemption.GivesWay {
    @Override
    public boolean mayStop(Job other) {
      return rank < ranking.rank(other.spec().id()) && rule.mayStop(other);
    }

    @Override
    public void stopped(Job other) {
      rule.stopped(other);
    }
  }

  /**
   * What a rule allows, but nothing of the floor of another party: what was given to the floor
   * would be stopped again in the same moment.
   */
  static final class AboveFloor implements Preemption.GivesWay {
    private final Preemption.GivesWay rule;
    private final Job job;
    private final MinimumShares.Side side;
    private final MinimumShares.Picture picture;
    private final Map<String, Double> stopped = new HashMap<>();

    AboveFloor(
        Job job,
        Preemption.GivesWay rule,
        MinimumShares.Side side,
        MinimumShares.Picture picture,
        Preemption.Round round) {
      this.job = job;
      this.rule = rule;
      this.side = side;
      this.picture = picture;
      round.eachLeaving(this::count);
    }

    @Override
    public boolean mayStop(Job other) {
      double left = side.aboveFloor(other) - stopped.getOrDefault(side.partyOf(other), 0.0);
      boolean own = side.partyOf(other).equals(side.partyOf(job));
      return (own || left > 0) && rule.mayStop(other);
    }

    @Override
    public void stopped(Job other) {
      count(other, 1);
      rule.stopped(other);
    }

    private void count(Job other, int tasks) {
      stopped.merge(side.partyOf(other), tasks * picture.share(other), Double::sum);
    }
  }

  /**
   * Only work that another team runs beyond its own guarantee, and only down to that. Narrower than
   * the protocol allows: nothing more urgent, and nothing that itself has a start aim, which each
   * stop would miss.
   */
  static final class ByGuarantee implements Preemption.GivesWay {
    private final Job job;
    private final JobRanking ranking;
    private final Predicate<Job> startsSoon;
    private final Map<TeamId, Double> excess = new HashMap<>();

    ByGuarantee(
        Job job,
        JobRanking ranking,
        Predicate<Job> startsSoon,
        TeamQuotas quota,
        Map<TeamId, Resources> inUse,
        Preemption.Round round) {
      this.job = job;
      this.ranking = ranking;
      this.startsSoon = startsSoon;
      inUse.forEach((team, used) -> excess.put(team, used.cpus() - quota.guaranteed(team)));
      // What is being stopped already no longer counts.
      round.eachLeaving(this::stopped);
    }

    @Override
    public boolean mayStop(Job other) {
      return !other.spec().team().equals(job.spec().team())
          && !other.priority().above(job.priority())
          && !startsSoon.test(other)
          && !ranking.guaranteed(other)
          && excess.getOrDefault(other.spec().team(), 0.0) >= other.spec().perTask().cpus();
    }

    @Override
    public void stopped(Job other) {
      stopped(other, 1);
    }

    private void stopped(Job other, int count) {
      excess.merge(other.spec().team(), -count * other.spec().perTask().cpus(), Double::sum);
    }
  }
}
