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
import org.mulleinshift.settings.PlatformSettings;

/**
 * The order in which jobs get room: priority, then guarantee, then who can make its deadline, then
 * whose last start is near and who asks for little: where not all can be in time, that lets most
 * be. Last come those that fail everywhere, which also use up nothing of a guarantee.
 */
public final class JobRanking {
  private final List<Job> order;
  private final Map<JobId, Integer> ranks;
  private final Set<JobId> withinGuarantee = new HashSet<>();

  private JobRanking(List<Entry> entries) {
    order = new ArrayList<>(entries.size());
    ranks = new HashMap<>(2 * entries.size());
    for (Entry entry : entries) {
      ranks.put(entry.job.spec().id(), order.size());
      order.add(entry.job);
      if (entry.guaranteed) {
        withinGuarantee.add(entry.job.spec().id());
      }
    }
  }

  static JobRanking of(
      Collection<Job> jobs,
      Predicate<Job> blamed,
      Map<String, PlatformSettings.Team> teams,
      Tardiness lateness,
      MinimumShares.Snapshot picture,
      long nowMillis) {
    List<Entry> entries = new ArrayList<>(jobs.size());
    for (Job job : jobs) {
      entries.add(new Entry(job, blamed.test(job), lateness.position(job, picture, nowMillis)));
    }
    entries.sort(Entry.BY_ARRIVAL);
    Map<TeamId, double[]> earlier = new HashMap<>();
    for (Entry entry : entries) {
      if (!entry.faulty) {
        Job job = entry.job;
        Resources need = job.spec().perTask();
        int left = job.spec().tasks() - job.doneCount();
        double[] sum = earlier.computeIfAbsent(job.spec().team(), team -> new double[2]);
        sum[0] += need.cpus() * left;
        sum[1] += need.gpus() * left;
        PlatformSettings.Team team = teams.get(job.spec().team().value());
        entry.guaranteed =
            team != null && sum[0] <= team.cpus() + 1e-6 && sum[1] <= team.gpus() + 1e-6;
      }
    }
    entries.sort(Entry.BY_URGENCY);
    return new JobRanking(entries);
  }

  /** A job with all that its place depends on, each worked out once and not at each comparison. */
  private static final class Entry {
    private static final Comparator<Entry> BY_ARRIVAL =
        (one, other) -> {
          int byTime = Long.compare(one.accepted, other.accepted);
          return byTime != 0 ? byTime : one.job.spec().id().compareTo(other.job.spec().id());
        };

    private static final Comparator<Entry> BY_URGENCY =
        (one, other) -> {
          int byClass = Integer.compare(one.urgency(), other.urgency());
          int byTurn = byClass != 0 ? byClass : Double.compare(one.order, other.order);
          return byTurn != 0 ? byTurn : BY_ARRIVAL.compare(other, one);
        };

    private final Job job;
    private final boolean faulty;
    private final Tardiness.Grade grade;
    private final int priority;
    private final double order;
    private final long accepted;
    private boolean guaranteed;

    Entry(Job job, boolean blamed, Tardiness.Position place) {
      this.job = job;
      this.faulty = blamed;
      this.grade = place.grade();
      this.priority = job.priority().rank();
      this.order = place.order();
      this.accepted = job.readyMillis();
    }

    /**
     * Blame before priority, before guarantee, before lateness; lower is served first. What is too
     * late for any aim comes after all of the next priority that is not.
     */
    private int urgency() {
      boolean late = grade == Tardiness.Grade.LATE;
      int level = 2 * priority + (late ? 3 : 0);
      return (faulty ? 256 : 0) + level * 8 + (guaranteed ? 0 : 4) + grade.rank();
    }
  }

  /** Most urgent first. */
  public List<Job> order() {
    return order;
  }

  /** The job's place in the order; one that came since is last. */
  public int rank(JobId job) {
    return ranks.getOrDefault(job, ranks.size());
  }

  /** Whether the job fits into its team's guarantee together with the team's earlier jobs. */
  boolean withinGuarantee(Job job) {
    return withinGuarantee.contains(job.spec().id());
  }
}
