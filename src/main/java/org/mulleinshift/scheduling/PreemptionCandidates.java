package org.mulleinshift.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.transport.MonotonicTime;

/**
 * The tasks that may be preempted in one cycle. They are collected once for all preempting jobs,
 * whose number is limited: freed capacity goes to the highest-ranked job that waits, whichever job
 * it was freed for.
 */
final class PreemptionCandidates {
  /** The maximum number of jobs that may preempt in a cycle for each reason. */
  private static final int MAX_JOBS_PER_REASON = 24;

  /** Why a job may preempt: its priority, or its team's guarantee. */
  enum Reason {
    PRIORITY,
    GUARANTEE
  }

  private record Candidate(TaskAssignment assignment, double runSeconds) {}

  /**
   * A job's tasks on machines of one kind in one zone; the capacity of each is equally useful to a
   * preempting job.
   */
  static final class Group {
    private final Job job;
    private final Preemption.Location location;
    private final PriorityQueue<Candidate> candidates =
        new PriorityQueue<>(Comparator.comparingDouble(Candidate::runSeconds));
    private int stopping;

    private Group(Job job, Preemption.Location location) {
      this.job = job;
      this.location = location;
    }

    private void add(TaskAssignment assignment, double runSeconds) {
      if (assignment.stopRequested()) {
        stopping++;
      } else {
        candidates.add(new Candidate(assignment, runSeconds));
      }
    }

    Job job() {
      return job;
    }

    Preemption.Location location() {
      return location;
    }

    /** The number of tasks that were asked to stop and have not ended yet. */
    int stopping() {
      return stopping;
    }

    boolean hasCandidates() {
      return !candidates.isEmpty();
    }

    /** The shortest run time among the candidates; there must be one. */
    double shortestRunSeconds() {
      return candidates.element().runSeconds();
    }

    /** Removes the candidate with the shortest run time and counts it as stopping. */
    TaskAssignment preemptShortest() {
      stopping++;
      return candidates.remove().assignment();
    }
  }

  private final Collection<Job> jobs;
  private final Preemption.Locator locator;
  private final double maxRunSeconds;
  private final MonotonicTime now;
  private final Map<Reason, Integer> admittedJobs = new EnumMap<>(Reason.class);
  private Optional<List<Group>> groups = Optional.empty();

  /**
   * Candidates among the jobs' tasks; see {@link Preemption#candidates}.
   *
   * @param maxRunSeconds tasks that have run for longer are not candidates
   */
  PreemptionCandidates(
      Collection<Job> jobs, Preemption.Locator locator, double maxRunSeconds, MonotonicTime now) {
    this.jobs = jobs;
    this.locator = locator;
    this.maxRunSeconds = maxRunSeconds;
    this.now = now;
  }

  /** Counts a job that is about to preempt, and returns whether it is within the limit. */
  boolean admit(Reason reason) {
    return admittedJobs.merge(reason, 1, Integer::sum) <= MAX_JOBS_PER_REASON;
  }

  /** All groups of candidates; collected on first use, since most cycles preempt nothing. */
  List<Group> groups() {
    if (groups.isEmpty()) {
      List<Group> collected = new ArrayList<>();
      jobs.forEach(job -> collected.addAll(groupsOf(job)));
      groups = Optional.of(collected);
    }
    return groups.get();
  }

  private Collection<Group> groupsOf(Job job) {
    Map<Preemption.Location, Group> byLocation = new LinkedHashMap<>();
    for (TaskAssignment assignment : job.assignments()) {
      double runSeconds = assignment.runningSince().map(now::secondsSince).orElse(0.0);
      if (assignment.stopRequested() || runSeconds <= maxRunSeconds) {
        locator
            .locate(assignment)
            .map(location -> byLocation.computeIfAbsent(location, key -> new Group(job, key)))
            .ifPresent(group -> group.add(assignment, runSeconds));
      }
    }
    return byLocation.values();
  }

  /** Passes the job and the number of stopping tasks of each group to the consumer. */
  void forEachStopping(BiConsumer<Job, Integer> consumer) {
    groups().forEach(group -> consumer.accept(group.job, group.stopping));
  }
}
