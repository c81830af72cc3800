package org.mulleinshift.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.TeamId;

/**
 * Ranks jobs for the assignment of capacity: by priority, then by whether they are within their
 * team's guarantee, then by expected lateness, then by the time until the latest start and the
 * remaining work. Where not all jobs can be on time, the last criterion lets most of them be. Late
 * jobs rank below those of the next lower priority that are not late. Failing jobs come last and do
 * not count against a guarantee.
 */
public final class JobRanking {
  private static final Comparator<Job> BY_ARRIVAL =
      Comparator.comparingLong(Job::readyMillis).thenComparing(job -> job.spec().id());

  private final List<Job> rankedJobs;
  private final Map<JobId, Integer> ranks;
  private final Set<JobId> withinGuarantee;

  private JobRanking(List<Entry> entries, Set<JobId> withinGuarantee) {
    this.rankedJobs = new ArrayList<>(entries.size());
    this.ranks = new HashMap<>(2 * entries.size());
    this.withinGuarantee = withinGuarantee;
    for (Entry entry : entries) {
      ranks.put(entry.job.spec().id(), rankedJobs.size());
      rankedJobs.add(entry.job);
    }
  }

  /**
   * Ranks jobs.
   *
   * @param failing whether a job fails wherever it runs
   * @param shares gives the share of the cluster that a job's task takes
   * @param nowMillis the time of day
   */
  static JobRanking of(
      Collection<Job> jobs,
      Predicate<Job> failing,
      TeamQuotas quotas,
      Tardiness tardiness,
      ShareSnapshot shares,
      long nowMillis) {
    List<Job> byArrival = new ArrayList<>(jobs);
    byArrival.sort(BY_ARRIVAL);
    List<Entry> entries = new ArrayList<>(byArrival.size());
    Set<JobId> withinGuarantee = new HashSet<>();
    Map<TeamId, Resources> requestedByTeam = new HashMap<>();
    for (Job job : byArrival) {
      boolean isFailing = failing.test(job);
      boolean isGuaranteed = !isFailing && countAgainstGuarantee(job, requestedByTeam, quotas);
      if (isGuaranteed) {
        withinGuarantee.add(job.spec().id());
      }
      entries.add(
          new Entry(job, isFailing, isGuaranteed, tardiness.rankingKey(job, shares, nowMillis)));
    }
    entries.sort(Entry.BY_URGENCY);
    return new JobRanking(entries, withinGuarantee);
  }

  /**
   * Adds the job's unfinished tasks to the resources that its team requests.
   *
   * @return whether the team's total is still within its guarantee
   */
  private static boolean countAgainstGuarantee(
      Job job, Map<TeamId, Resources> requestedByTeam, TeamQuotas quotas) {
    TeamId team = job.spec().team();
    int remainingTasks = job.spec().taskCount() - job.doneCount();
    Resources requested =
        requestedByTeam.merge(team, job.spec().perTask().times(remainingTasks), Resources::plus);
    return quotas.isWithinGuarantee(team, requested);
  }

  /** A job with its sort keys, which are computed once rather than in each comparison. */
  private static final class Entry {
    /** A late job ranks just below the jobs of the next lower priority that are not late. */
    private static final int LEVELS_PER_PRIORITY = 2;

    private static final int LATE_LEVEL_PENALTY = 3;

    private static final Comparator<Entry> BY_URGENCY =
        Comparator.comparing((Entry entry) -> entry.failing)
            .thenComparingInt(entry -> entry.level)
            .thenComparing(entry -> !entry.guaranteed)
            .thenComparingInt(entry -> entry.lateness.rank())
            .thenComparingDouble(entry -> entry.weightedSlackSeconds)
            .thenComparing(entry -> entry.job, BY_ARRIVAL.reversed());

    private final Job job;
    private final boolean failing;
    private final boolean guaranteed;
    private final int level;
    private final Tardiness.Lateness lateness;
    private final double weightedSlackSeconds;

    Entry(Job job, boolean failing, boolean guaranteed, Tardiness.RankingKey rankingKey) {
      this.job = job;
      this.failing = failing;
      this.guaranteed = guaranteed;
      this.lateness = rankingKey.lateness();
      this.weightedSlackSeconds = rankingKey.weightedSlackSeconds();
      int latenessPenalty = lateness == Tardiness.Lateness.LATE ? LATE_LEVEL_PENALTY : 0;
      this.level = LEVELS_PER_PRIORITY * job.priority().rank() + latenessPenalty;
    }
  }

  /** All jobs, the highest-ranked first. */
  public List<Job> rankedJobs() {
    return rankedJobs;
  }

  /** The job's position in the ranking, from 0; a job that arrived after the ranking comes last. */
  public int rank(JobId job) {
    return ranks.getOrDefault(job, ranks.size());
  }

  /**
   * Whether the job fits into its team's guarantee, together with the jobs of the team that were
   * ready before it.
   */
  boolean withinGuarantee(Job job) {
    return withinGuarantee.contains(job.spec().id());
  }
}
