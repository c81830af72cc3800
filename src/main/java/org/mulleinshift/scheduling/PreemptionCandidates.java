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
 * The tasks that may be preempted in one cycle. They are collected once, however many jobs preempt,
 * and only so many jobs may: capacity that is freed goes to the most urgent of those that wait,
 * whichever job it was freed for.
 */
final class PreemptionCandidates {
  /** So many jobs may preempt in a cycle for each reason. */
  private static final int MAX_JOBS_PER_REASON = 24;

  /** Why a job may preempt. */
  enum Reason {
    PRIORITY,
    GUARANTEE
  }

  private record Candidate(TaskAssignment assignment, double runSeconds) {}

  /** A job's tasks on machines of one kind: for whoever preempts, any of them is as good. */
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

    /** How many tasks of the group were asked to stop and are not gone yet. */
    int stopping() {
      return stopping;
    }

    boolean hasCandidates() {
      return !candidates.isEmpty();
    }

    /** The run time of the candidate that would lose the least work. */
    double shortestRunSeconds() {
      return candidates.element().runSeconds();
    }

    /** Removes the candidate that would lose the least work, and counts it as stopping. */
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

  /** The jobs' tasks that ran for at most so long; see {@link Preemption#candidates}. */
  PreemptionCandidates(
      Collection<Job> jobs, Preemption.Locator locator, double maxRunSeconds, MonotonicTime now) {
    this.jobs = jobs;
    this.locator = locator;
    this.maxRunSeconds = maxRunSeconds;
    this.now = now;
  }

  /** Whether one more job may preempt for this reason; counts it. */
  boolean admit(Reason reason) {
    return admittedJobs.merge(reason, 1, Integer::sum) <= MAX_JOBS_PER_REASON;
  }

  /** All candidates; collected on first use, as most cycles preempt nothing. */
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

  /** How many tasks of each job are stopping. */
  void forEachStopping(BiConsumer<Job, Integer> consumer) {
    groups().forEach(group -> consumer.accept(group.job, group.stopping));
  }
}
