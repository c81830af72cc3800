package org.mulleinshift.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
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
  /** A task is stopped for at most so many tasks of the preempting job. */
  private static final int MAX_TASKS_PER_VICTIM = 2;

  private static final int MILLIS_PER_SECOND = 1000;

  /** The kind of machine that a task is on. */
  record Location(ZoneId zone, MachineTypeId type, boolean spot) {}

  /** Finds the location of a task, if its owner has placed it on a machine of a known shard. */
  interface Locator {
    Optional<Location> locate(TaskAssignment assignment);
  }

  /** Decides whether work may be preempted for a job, and keeps count of what was. */
  interface Policy {
    boolean mayPreempt(Job other);

    void onPreempted(Job other);
  }

  /** A group of candidates with the shortest run time of them, as one preempting job sees it. */
  private record RankedGroup(
      PreemptionCandidates.Group group, int tasksPerVictim, double shortestRunSeconds)
      implements Comparable<RankedGroup> {
    static RankedGroup of(PreemptionCandidates.Group group, int tasksPerVictim) {
      return new RankedGroup(group, tasksPerVictim, group.shortestRunSeconds());
    }

    @Override
    public int compareTo(RankedGroup other) {
      return Double.compare(shortestRunSeconds, other.shortestRunSeconds);
    }
  }

  private final double maxRunSeconds;
  private final double slackSeconds;

  /**
   * Preemption within limits.
   *
   * @param maxRunSeconds a task that ran for longer is not preempted
   * @param slackSeconds a job preempts only when its last start is as near as this
   */
  Preemption(double maxRunSeconds, double slackSeconds) {
    this.maxRunSeconds = maxRunSeconds;
    this.slackSeconds = slackSeconds;
  }

  /** The tasks of the jobs that may be preempted in one cycle. */
  PreemptionCandidates candidates(Collection<Job> jobs, Locator locator, MonotonicTime now) {
    return new PreemptionCandidates(jobs, locator, maxRunSeconds, now);
  }

  /**
   * Whether the job is so near the last moment for its start that work should be lost for it. On a
   * large cluster tasks end all the time, and most jobs get their capacity from those.
   */
  boolean isUrgent(Job job, double expectedSeconds, long nowMillis) {
    return !job.hasDeadline()
        || job.deadlineMillis() - nowMillis - MILLIS_PER_SECOND * expectedSeconds
            <= MILLIS_PER_SECOND * slackSeconds;
  }

  /**
   * Tasks whose stop frees capacity for so many of the job's tasks; they are no longer candidates.
   */
  List<TaskAssignment> selectVictims(
      Job job,
      int wanted,
      PreemptionCandidates candidates,
      Policy policy,
      Predicate<Location> usable) {
    ResourceRequest request = ResourceRequest.of(job.spec());
    int missing = wanted;
    PriorityQueue<RankedGroup> rankedGroups = new PriorityQueue<>();
    for (PreemptionCandidates.Group group : candidates.groups()) {
      int tasksPerVictim = request.perTask().countIn(group.job().spec().perTask());
      if (tasksPerVictim > 0 && policy.mayPreempt(group.job()) && usable.test(group.location())) {
        // Already stopping: that capacity is about to be released.
        missing -= group.stopping() * tasksPerVictim;
        // A large task that gives way to a few small ones loses more than they win.
        if (tasksPerVictim <= MAX_TASKS_PER_VICTIM && group.hasCandidates()) {
          rankedGroups.add(RankedGroup.of(group, tasksPerVictim));
        }
      }
    }
    return choose(missing, rankedGroups, policy);
  }

  private static List<TaskAssignment> choose(
      int wanted, PriorityQueue<RankedGroup> rankedGroups, Policy policy) {
    int missing = wanted;
    List<TaskAssignment> chosen = new ArrayList<>();
    while (missing > 0 && !rankedGroups.isEmpty()) {
      RankedGroup next = rankedGroups.poll();
      PreemptionCandidates.Group group = next.group();
      // Asked again: what was chosen meanwhile may have used up what the policy allows.
      if (policy.mayPreempt(group.job())) {
        policy.onPreempted(group.job());
        chosen.add(group.preemptShortest());
        missing -= next.tasksPerVictim();
        if (group.hasCandidates()) {
          rankedGroups.add(RankedGroup.of(group, next.tasksPerVictim()));
        }
      }
    }
    return chosen;
  }

  /** Whether the job is of a priority that may preempt at all. */
  static boolean hasPreemptingPriority(Job job) {
    return job.state() == Job.State.ACTIVE && job.priority().isAbove(Priority.NORMAL);
  }

  /** Whether the preempting job may use the machine. */
  static boolean isUsableMachine(Job job, Location location) {
    return ResourceRequest.of(job.spec()).allows(location.type(), location.spot());
  }
}
