package org.mulleinshift.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.model.Job;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Finds the largest jobs of each class that have waited too long without any task. Ranking by
 * remaining work would defer them for as long as smaller jobs arrive, so a few at a time may start
 * ahead of it. The result depends only on what is stored, so a new leader finds the same jobs.
 */
final class StarvationPrevention {
  /** One in this many jobs of a class, but at least one, may start ahead of the ranking. */
  private static final int JOBS_PER_STARVED_JOB = 10;

  private static final int MAX_JOBS_PER_CLASS = 16;
  private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);
  private static final int MILLIS_PER_SECOND = 1000;

  private static final Comparator<Job> LARGEST_FIRST =
      Comparator.comparingInt((Job job) -> -job.spec().taskCount())
          .thenComparingLong(Job::readyMillis)
          .thenComparing(job -> job.spec().id());

  private final long maxWaitMillis;
  private List<Job> starved = List.of();
  private MonotonicTime checkedAt;

  /** Jobs that have waited for longer than {@code maxWaitSeconds} without a task are starved. */
  StarvationPrevention(double maxWaitSeconds, MonotonicTime now) {
    this.maxWaitMillis = (long) (MILLIS_PER_SECOND * maxWaitSeconds);
    this.checkedAt = now.minus(CHECK_INTERVAL);
  }

  /** The starved jobs that should start now, the one that waited longest first. */
  List<Job> jobsToStart(Collection<Job> jobs, MonotonicTime now, long wallMillis) {
    if (now.since(checkedAt).compareTo(CHECK_INTERVAL) >= 0) {
      checkedAt = now;
      starved = findStarved(jobs, wallMillis - maxWaitMillis);
    }
    return starved.stream().filter(StarvationPrevention::notStarted).toList();
  }

  private static List<Job> findStarved(Collection<Job> jobs, long readyBeforeMillis) {
    if (jobs.stream().noneMatch(job -> notStarted(job) && job.readyMillis() < readyBeforeMillis)) {
      return List.of();
    }
    Map<String, List<Job>> byClass = new HashMap<>();
    for (Job job : jobs) {
      if (job.state() == Job.State.ACTIVE) {
        byClass.computeIfAbsent(job.spec().jobClass(), key -> new ArrayList<>()).add(job);
      }
    }
    List<Job> found = new ArrayList<>();
    for (List<Job> ofClass : byClass.values()) {
      ofClass.sort(LARGEST_FIRST);
      int count = Math.max(1, Math.min(MAX_JOBS_PER_CLASS, ofClass.size() / JOBS_PER_STARVED_JOB));
      for (Job job : ofClass.subList(0, count)) {
        if (notStarted(job) && job.readyMillis() < readyBeforeMillis) {
          found.add(job);
        }
      }
    }
    found.sort(Comparator.comparingLong(Job::readyMillis));
    return found;
  }

  private static boolean notStarted(Job job) {
    return job.state() == Job.State.ACTIVE && !job.hasStarted() && job.assignedCount() == 0;
  }
}
