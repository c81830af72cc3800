package org.mulleinshift.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Priority;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Chooses tasks that give way to a job of higher priority: only such as have run for a short while,
 * the shortest first, so that little work is lost.
 */
final class Preemption {
  private static final int MAX_CAPACITY = 2;

  /** So many jobs of a cycle ask for a reason. */
  private static final int MAX_ASKING = 24;

  /** Where a task is. */
  record Location(ZoneId zone, MachineTypeId type, boolean spot) {}

  /** Tells where a told task is, if it is on a machine of a known shard. */
  interface Locator {
    Optional<Location> of(TaskAssignment assignment);
  }

  private record Candidate(TaskAssignment assignment, double ranSeconds) {}

  /** A job's tasks on machines that are alike: for whoever asks, one may give way as the other. */
  private static final class Group {
    private final Job job;
    private final Location where;
    private final PriorityQueue<Candidate> candidates =
        new PriorityQueue<>(Comparator.comparingDouble(Candidate::ranSeconds));
    private int stopping;

    Group(Job job, Location where) {
      this.job = job;
      this.where = where;
    }

    void add(TaskAssignment assignment, double ranSeconds) {
      if (assignment.stopRequested()) {
        stopping++;
      } else {
        candidates.add(new Candidate(assignment, ranSeconds));
      }
    }
  }

  /** A group as one asker sees it, by the task that would lose least. */
  private record Option(Group group, int capacity, double ranSeconds)
      implements Comparable<Option> {
    @Override
    public int compareTo(Option other) {
      return Double.compare(ranSeconds, other.ranSeconds);
    }
  }

  private final double maxSeconds;
  private final double slackSeconds;

  Preemption(double maxSeconds, double slackSeconds) {
    this.maxSeconds = maxSeconds;
    this.slackSeconds = slackSeconds;
  }

  /** What decides whether work may be stopped for a job, and keeps count of what was. */
  interface Policy {
    boolean mayPreempt(Job other);

    void onPreempted(Job other);
  }

  /**
   * Whether the job is so near the last moment for its start that work should be lost for it. On a
   * large fleet tasks end all the time, and most jobs get their room from those.
   */
  boolean urgent(Job job, double expectedSeconds, long nowMillis) {
    return !job.hasDeadline()
        || job.deadlineMillis() - nowMillis - 1000 * expectedSeconds <= 1000 * slackSeconds;
  }

  /**
   * Tasks whose stop makes room for so many of the job's tasks; they are taken out of the round.
   */
  List<TaskAssignment> victims(
      Job job, int wanted, Pass round, Policy rule, Predicate<Location> usable) {
    ResourceRequest need = ResourceRequest.of(job.spec());
    int missing = wanted;
    PriorityQueue<Option> open = new PriorityQueue<>();
    for (Group group : round.groups()) {
      int capacity = need.perTask().countIn(group.job.spec().perTask());
      if (capacity == 0 || !rule.mayPreempt(group.job) || !usable.test(group.where)) {
        continue;
      }
      // Already giving way: its room is on the way.
      missing -= group.stopping * capacity;
      // A large task that gives way to a few small ones loses more than they win.
      if (capacity <= MAX_CAPACITY && !group.candidates.isEmpty()) {
        open.add(new Option(group, capacity, group.candidates.peek().ranSeconds));
      }
    }
    List<TaskAssignment> chosen = new ArrayList<>();
    while (missing > 0 && !open.isEmpty()) {
      Option next = open.poll();
      Group group = next.group;
      if (!rule.mayPreempt(group.job)) {
        continue;
      }
      rule.onPreempted(group.job);
      chosen.add(group.candidates.poll().assignment);
      group.stopping++;
      missing -= next.capacity;
      if (!group.candidates.isEmpty()) {
        open.add(new Option(group, next.capacity, group.candidates.peek().ranSeconds));
      }
    }
    return chosen;
  }

  /**
   * What could give way in one cycle. It is looked for once, however many jobs ask, and only so
   * many ask: room that is made goes to the most urgent of those that wait, whoever asked for it.
   */
  final class Pass {
    private final Collection<Job> jobs;
    private final Locator placed;
    private final MonotonicTime now;
    private final Map<String, Integer> admitted = new HashMap<>();
    private List<Group> groups;

    Pass(Collection<Job> jobs, Locator placed, MonotonicTime now) {
      this.jobs = jobs;
      this.placed = placed;
      this.now = now;
    }

    /** Whether one more job may ask for this reason; counts it. */
    boolean admit(String reason) {
      return admitted.merge(reason, 1, Integer::sum) <= MAX_ASKING;
    }

    private List<Group> groups() {
      if (groups == null) {
        groups = new ArrayList<>();
        jobs.forEach(this::collect);
      }
      return groups;
    }

    private void collect(Job other) {
      Map<Location, Group> byPlace = new LinkedHashMap<>();
      for (TaskAssignment assignment : other.assignments()) {
        double ran = assignment.runningSince().map(now::secondsSince).orElse(0.0);
        if (assignment.stopRequested() || ran <= maxSeconds) {
          placed
              .of(assignment)
              .map(where -> byPlace.computeIfAbsent(where, key -> new Group(other, key)))
              .ifPresent(group -> group.add(assignment, ran));
        }
      }
      groups.addAll(byPlace.values());
    }

    /** How many tasks of each job are giving way. */
    void forEachStopping(BiConsumer<Job, Integer> consumer) {
      groups().forEach(group -> consumer.accept(group.job, group.stopping));
    }
  }

  static boolean mayPreempt(Job job) {
    return job.state() == Job.State.ACTIVE && job.priority().above(Priority.NORMAL);
  }

  /** On a machine that the preempting job may use. */
  static boolean onUsableMachine(Job job, Location where) {
    return ResourceRequest.of(job.spec()).allows(where.type(), where.spot());
  }
}
