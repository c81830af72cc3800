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
 * Selects tasks to preempt. Only tasks that have run for a short time are selected, those with the
 * shortest run time first, so that little work is lost.
 */
final class Preemption {
  /**
   * A task that makes capacity for more than this many tasks of the preempting job is not
   * preempted.
   */
  private static final int MAX_TASKS_PER_VICTIM = 2;

  private static final int MILLIS_PER_SECOND = 1000;

  /** The zone and kind of machine that a task is on. */
  record Location(ZoneId zone, MachineTypeId type, boolean spot) {}

  /**
   * Finds the location of a task; empty unless its owner has placed it on a machine of a known
   * shard.
   */
  interface Locator {
    Optional<Location> locate(TaskAssignment assignment);
  }

  /** Decides whose tasks may be preempted for a job, and keeps account of those that were. */
  interface Policy {
    boolean mayPreempt(Job other);

    void onPreempted(Job other);
  }

  /**
   * A group of candidates, ordered by the shortest run time among them.
   *
   * @param tasksPerVictim how many tasks of the preempting job fit into the capacity of one
   *     candidate
   */
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
   * Sets the limits of preemption.
   *
   * @param maxRunSeconds tasks that have run for longer are not preempted
   * @param slackSeconds a job with a deadline preempts only if it must start within this time
   */
  Preemption(double maxRunSeconds, double slackSeconds) {
    this.maxRunSeconds = maxRunSeconds;
    this.slackSeconds = slackSeconds;
  }

  /** The tasks that may be preempted in one cycle; see {@link PreemptionCandidates}. */
  PreemptionCandidates candidates(Collection<Job> jobs, Locator locator, MonotonicTime now) {
    return new PreemptionCandidates(jobs, locator, maxRunSeconds, now);
  }

  /**
   * Whether the job must start so soon that work should be lost for it: it has no deadline, or
   * little slack before it. On a large cluster tasks end all the time, and most jobs get their
   * capacity from those.
   */
  boolean isUrgent(Job job, double expectedSeconds, long nowMillis) {
    return !job.hasDeadline()
        || job.deadlineMillis() - nowMillis - MILLIS_PER_SECOND * expectedSeconds
            <= MILLIS_PER_SECOND * slackSeconds;
  }

  /**
   * Selects tasks whose preemption, with that of tasks already stopping, frees capacity for up to
   * {@code wanted} of the job's tasks. The selected tasks are no longer candidates.
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
      int tasksPerVictim = request.perTask().countFittingInto(group.job().spec().perTask());
      if (tasksPerVictim > 0 && policy.mayPreempt(group.job()) && usable.test(group.location())) {
        // Tasks that are already stopping will release their capacity soon.
        missing -= group.stopping() * tasksPerVictim;
        // Preempting a large task for a few small ones loses more than it gains.
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
      // Checked again: tasks selected meanwhile may have used up what the policy allows.
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

  /** Whether the job is active and of a priority that may preempt at all. */
  static boolean hasPreemptingPriority(Job job) {
    return job.state() == Job.State.ACTIVE && job.priority().isAbove(Priority.NORMAL);
  }

  /** Whether tasks of the job may be on that kind of machine, whatever its zone. */
  static boolean isUsableMachine(Job job, Location location) {
    return ResourceRequest.of(job.spec()).allows(location.type(), location.spot());
  }
}
