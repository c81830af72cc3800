package org.mulleinshift.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.model.Job;
import org.mulleinshift.transport.MonotonicTime;

/**
 * The largest jobs of each class that have waited too long without any task. The order by work left
 * would put them off for as long as smaller ones come; a few at a time may begin before that order.
 * All of it follows from what is stored, so a new leader finds the same.
 */
final class StarvationPrevention {
  private static final int ONE_OF = 10;
  private static final int MOST = 16;
  private static final double LOOK_SECONDS = 1;

  private static final Comparator<Job> LARGEST_FIRST =
      Comparator.comparingInt((Job job) -> -job.spec().tasks())
          .thenComparingLong(Job::readyMillis)
          .thenComparing(job -> job.spec().id());

  private final long patienceMillis;
  private List<Job> starved = List.of();
  private MonotonicTime checkedAt;

  StarvationPrevention(double patienceSeconds, MonotonicTime now) {
    this.patienceMillis = (long) (1000 * patienceSeconds);
    this.checkedAt = now.minus(java.time.Duration.ofSeconds(1));
  }

  /** Those that are to begin now, the one that waited longest first. */
  List<Job> jobsToStart(Collection<Job> jobs, MonotonicTime now, long wallMillis) {
    if (now.secondsSince(checkedAt) >= LOOK_SECONDS) {
      checkedAt = now;
      starved = findStarved(jobs, wallMillis - patienceMillis);
    }
    return starved.stream().filter(StarvationPrevention::notStarted).toList();
  }

  private static List<Job> findStarved(Collection<Job> jobs, long readyBefore) {
    if (jobs.stream().noneMatch(job -> notStarted(job) && job.readyMillis() < readyBefore)) {
      return List.of();
    }
    Map<String, List<Job>> classes = new HashMap<>();
    for (Job job : jobs) {
      if (job.state() == Job.State.ACTIVE) {
        classes.computeIfAbsent(job.spec().jobClass(), key -> new ArrayList<>()).add(job);
      }
    }
    List<Job> late = new ArrayList<>();
    for (List<Job> ofClass : classes.values()) {
      ofClass.sort(LARGEST_FIRST);
      int count = Math.max(1, Math.min(MOST, ofClass.size() / ONE_OF));
      for (Job job : ofClass.subList(0, count)) {
        if (notStarted(job) && job.readyMillis() < readyBefore) {
          late.add(job);
        }
      }
    }
    late.sort(Comparator.comparingLong(Job::readyMillis));
    return late;
  }

  private static boolean notStarted(Job job) {
    return job.state() == Job.State.ACTIVE && !job.hasStarted() && job.assignedCount() == 0;
  }
}
