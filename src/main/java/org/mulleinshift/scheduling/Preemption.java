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
  private static final int MOST_ROOM = 2;

  /** So many jobs of a cycle ask for a reason. */
  private static final int MOST_ASKING = 24;

  /** Where a task is. */
  record Where(ZoneId zone, MachineTypeId type, boolean spot) {}

  /** Tells where a told task is, if it is on a machine of a known block. */
  interface Placed {
    Optional<Where> of(TaskAssignment delegation);
  }

  private record Candidate(TaskAssignment delegation, double ranSeconds) {}

  /** A job's tasks on machines that are alike: for whoever asks, one may give way as the other. */
  private static final class Group {
    private final Job job;
    private final Where where;
    private final PriorityQueue<Candidate> candidates =
        new PriorityQueue<>(Comparator.comparingDouble(Candidate::ranSeconds));
    private int leaving;

    Group(Job job, Where where) {
      this.job = job;
      this.where = where;
    }

    void add(TaskAssignment delegation, double ranSeconds) {
      if (delegation.stopRequested()) {
        leaving++;
      } else {
        candidates.add(new Candidate(delegation, ranSeconds));
      }
    }
  }

  /** A group as one asker sees it, by the task that would lose least. */
  private record Open(Group group, int room, double ranSeconds) implements Comparable<Open> {
    @Override
    public int compareTo(Open other) {
      return Double.compare(ranSeconds, other.ranSeconds);
    }
  }

  private final double mostSeconds;
  private final double slackSeconds;

  Preemption(double mostSeconds, double slackSeconds) {
    this.mostSeconds = mostSeconds;
    this.slackSeconds = slackSeconds;
  }

  /** What decides whether work may be stopped for a job, and keeps count of what was. */
  interface GivesWay {
    boolean mayStop(Job other);

    void stopped(Job other);
  }

  /**
   * Whether the job is so near the last moment for its start that work should be lost for it. On a
   * large fleet tasks end all the time, and most jobs get their room from those.
   */
  boolean pressing(Job job, double expectedSeconds, long nowMillis) {
    return !job.hasDeadline()
        || job.dueMillis() - nowMillis - 1000 * expectedSeconds <= 1000 * slackSeconds;
  }

  /**
   * Tasks whose stop makes room for so many of the job's tasks; they are taken out of the round.
   */
  List<TaskAssignment> victims(
      Job job, int wanted, Round round, GivesWay rule, Predicate<Where> usable) {
    ResourceRequest need = ResourceRequest.of(job.spec());
    int missing = wanted;
    PriorityQueue<Open> open = new PriorityQueue<>();
    for (Group group : round.groups()) {
      int room = need.perTask().countIn(group.job.spec().perTask());
      if (room == 0 || !rule.mayStop(group.job) || !usable.test(group.where)) {
        continue;
      }
      // Already giving way: its room is on the way.
      missing -= group.leaving * room;
      // A large task that gives way to a few small ones loses more than they win.
      if (room <= MOST_ROOM && !group.candidates.isEmpty()) {
        open.add(new Open(group, room, group.candidates.peek().ranSeconds));
      }
    }
    List<TaskAssignment> chosen = new ArrayList<>();
    while (missing > 0 && !open.isEmpty()) {
      Open next = open.poll();
      Group group = next.group;
      if (!rule.mayStop(group.job)) {
        continue;
      }
      rule.stopped(group.job);
      chosen.add(group.candidates.poll().delegation);
      group.leaving++;
      missing -= next.room;
      if (!group.candidates.isEmpty()) {
        open.add(new Open(group, next.room, group.candidates.peek().ranSeconds));
      }
    }
    return chosen;
  }

  /**
   * What could give way in one cycle. It is looked for once, however many jobs ask, and only so
   * many ask: room that is made goes to the most urgent of those that wait, whoever asked for it.
   */
  final class Round {
    private final Collection<Job> jobs;
    private final Placed placed;
    private final MonotonicTime now;
    private final Map<String, Integer> asked = new HashMap<>();
    private List<Group> groups;

    Round(Collection<Job> jobs, Placed placed, MonotonicTime now) {
      this.jobs = jobs;
      this.placed = placed;
      this.now = now;
    }

    /** Whether one more job may ask for this reason; counts it. */
    boolean mayAsk(String reason) {
      return asked.merge(reason, 1, Integer::sum) <= MOST_ASKING;
    }

    private List<Group> groups() {
      if (groups == null) {
        groups = new ArrayList<>();
        jobs.forEach(this::look);
      }
      return groups;
    }

    private void look(Job other) {
      Map<Where, Group> byPlace = new LinkedHashMap<>();
      for (TaskAssignment delegation : other.delegations()) {
        double ran = delegation.runningSince().map(now::secondsSince).orElse(0.0);
        if (delegation.stopRequested() || ran <= mostSeconds) {
          placed
              .of(delegation)
              .map(where -> byPlace.computeIfAbsent(where, key -> new Group(other, key)))
              .ifPresent(group -> group.add(delegation, ran));
        }
      }
      groups.addAll(byPlace.values());
    }

    /** How many tasks of each job are giving way. */
    void eachLeaving(BiConsumer<Job, Integer> taker) {
      groups().forEach(group -> taker.accept(group.job, group.leaving));
    }
  }

  static boolean mayPreempt(Job job) {
    return job.state() == Job.State.ACTIVE && job.priority().above(Priority.NORMAL);
  }

  /** On a machine that the preempting job may use. */
  static boolean onUsableMachine(Job job, Where where) {
    return ResourceRequest.of(job.spec()).allows(where.type(), where.spot());
  }
}
