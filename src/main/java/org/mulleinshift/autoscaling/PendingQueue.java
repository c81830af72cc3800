package org.mulleinshift.autoscaling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mulleinshift.dependencies.ExpectedRelease;
import org.mulleinshift.model.Job;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Priority;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.TeamId;
import org.mulleinshift.scheduling.ClusterState;
import org.mulleinshift.transport.EventLoop;

/**
 * Lists the waiting tasks that the cluster is sized for, in the order in which they would start.
 */
final class PendingQueue {
  private static final int MILLIS_PER_SECOND = 1000;

  /** A job no longer waits for spot machines this many expected run times before its deadline. */
  private static final int DEADLINE_RESERVE_RUN_TIMES = 2;

  private final EventLoop loop;
  private final ClusterState state;
  private final Demand demand;
  private final AutoscalerSettings settings;

  PendingQueue(EventLoop loop, ClusterState state, Demand demand, AutoscalerSettings settings) {
    this.loop = loop;
    this.state = state;
    this.demand = demand;
    this.settings = settings;
  }

  /** A job with waiting tasks, and the seconds from now until they join the queue. */
  private record QueuedJob(Job job, double earliestStartSeconds) {}

  /** Returns the waiting tasks in order, without those beyond their team's limit. */
  List<PendingGroup> groups(double horizonSeconds) {
    Map<TeamId, Resources> usage = state.usageByTeam();
    List<PendingGroup> groups = new ArrayList<>();
    for (QueuedJob queued : queue(horizonSeconds)) {
      Job job = queued.job();
      TeamId team = job.spec().team();
      Resources used = usage.getOrDefault(team, Resources.ZERO);
      int withinLimit = Math.min(job.waitingCount(), state.quotas().tasksWithinLimit(job, used));
      // A failing job counts only for the tasks that it may attempt now.
      int count = Math.min(withinLimit, state.failures().allowedAttempts(job, loop.now()));
      if (count > 0) {
        usage.put(team, used.plus(job.spec().perTask().times(count)));
        groups.add(group(queued, count));
      }
    }
    return groups;
  }

  private PendingGroup group(QueuedJob queued, int count) {
    Job job = queued.job();
    return new PendingGroup(
        ResourceRequest.of(job.spec()),
        state.runTimes().expectedSeconds(job),
        waitsForSpot(job),
        count,
        queued.earliestStartSeconds());
  }

  /**
   * Returns the active jobs with waiting tasks. Jobs that should be released within the horizon are
   * inserted by priority.
   */
  private List<QueuedJob> queue(double horizonSeconds) {
    List<QueuedJob> queue = new ArrayList<>();
    for (Job job : demand.rankedJobs()) {
      if (job.state() == Job.State.ACTIVE && job.waitingCount() > 0) {
        queue.add(new QueuedJob(job, 0));
      }
    }
    for (ExpectedRelease release : demand.expectedReleases(horizonSeconds)) {
      int position = 0;
      while (position < queue.size()
          && !release.job().priority().isAbove(queue.get(position).job().priority())) {
        position++;
      }
      queue.add(position, new QueuedJob(release.job(), release.secondsUntilRelease()));
    }
    return queue;
  }

  /**
   * Returns whether no on-demand machines are provisioned for the job: it has the lowest priority,
   * may use spot machines, and has time left to wait for them.
   */
  private boolean waitsForSpot(Job job) {
    if (job.priority() != Priority.LOW || !job.spec().spotAllowed()) {
      return false;
    }
    double deadlineLimitMillis =
        job.deadlineMillis()
            - DEADLINE_RESERVE_RUN_TIMES
                * MILLIS_PER_SECOND
                * state.runTimes().expectedSeconds(job);
    double waitUntilMillis =
        Math.min(
            deadlineLimitMillis,
            job.readyMillis() + MILLIS_PER_SECOND * settings.lowPriorityWaitSeconds());
    return loop.wallMillis() < waitUntilMillis;
  }

  /** Returns the machine types that waiting tasks could use. */
  Set<MachineTypeId> typesFor(List<PendingGroup> waiting) {
    Set<MachineTypeId> types = new HashSet<>();
    for (PendingGroup group : waiting) {
      state.catalog().types().values().stream()
          .filter(type -> group.request().fits(type))
          .forEach(type -> types.add(type.id()));
    }
    return types;
  }
}
