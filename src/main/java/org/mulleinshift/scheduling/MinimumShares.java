package org.mulleinshift.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.mulleinshift.fairness.ShareEntity;
import org.mulleinshift.model.Job;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Priority;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.TeamId;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Computes which shares of the cluster classes and teams use, demand and can reach, and their
 * minimum shares. The result depends only on what is stored, so a new leader computes the same.
 */
final class MinimumShares {
  private static final Logger LOG = LoggerFactory.getLogger(MinimumShares.class);
  private static final Duration LOG_INTERVAL = Duration.ofSeconds(10);

  private final ClusterState state;
  private final double minimumShare;
  private final UsableClusterCapacity capacity;
  private Optional<MonotonicTime> loggedAt = Optional.empty();

  /**
   * Computes shares of one term's cluster.
   *
   * @param minimumShare the part of its fair share that is an entity's minimum share
   */
  MinimumShares(ClusterState state, double minimumShare) {
    this.state = state;
    this.minimumShare = minimumShare;
    this.capacity = new UsableClusterCapacity(state);
  }

  /** Sums what the jobs of one class or team use and demand, as shares of the cluster. */
  private static final class EntityTotals {
    private final double weight;
    private final Set<MachineTypeId> types = new HashSet<>();
    private double inUse;
    private double demand;
    private double limit = 1;

    EntityTotals(double weight) {
      this.weight = weight;
    }

    void add(JobShares job) {
      inUse += job.inUse;
      demand += job.inUse + job.waiting;
    }

    ShareEntity toEntity(String name, double reachable) {
      return new ShareEntity(name, weight, inUse, demand, reachable);
    }
  }

  /** The shares of the cluster that a job's assigned tasks use and its waiting tasks request. */
  private record JobShares(double inUse, double waiting) {}

  /** Computes the current shares. */
  ShareSnapshot snapshot(
      Collection<Job> jobs, Map<TeamId, Resources> usageByTeam, MonotonicTime now) {
    capacity.refreshIfDue(now);
    Map<String, EntityTotals> classes = new HashMap<>();
    Map<String, EntityTotals> teams = new HashMap<>();
    for (Job job : jobs) {
      JobShares shares = sharesOf(job, usageByTeam, now);
      addToClass(classes, job, shares);
      addToTeam(teams, job, shares);
    }
    ShareSnapshot snapshot =
        new ShareSnapshot(capacity.total(), List.of(classGroup(classes), teamGroup(teams)));
    logClaims(snapshot, now);
    return snapshot;
  }

  private JobShares sharesOf(Job job, Map<TeamId, Resources> usageByTeam, MonotonicTime now) {
    double share = job.spec().perTask().dominantShareOf(capacity.total());
    double waiting = 0;
    if (job.state() == Job.State.ACTIVE && job.waitingCount() > 0) {
      Resources used = usageByTeam.getOrDefault(job.spec().team(), Resources.ZERO);
      int allowed =
          Math.min(
              state.quotas().tasksWithinLimit(job, used),
              state.failures().allowedAttempts(job, now));
      waiting = share * Math.min(allowed, job.waitingCount());
    }
    return new JobShares(share * job.assignedCount(), waiting);
  }

  private void addToClass(Map<String, EntityTotals> classes, Job job, JobShares shares) {
    EntityTotals totals =
        classes.computeIfAbsent(
            job.spec().jobClass(), key -> new EntityTotals(weight(job.spec().priority())));
    ResourceRequest request = ResourceRequest.of(job.spec());
    for (MachineType type : state.catalog().types().values()) {
      if (request.fits(type)) {
        totals.types.add(type.id());
      }
    }
    totals.add(shares);
  }

  private void addToTeam(Map<String, EntityTotals> teams, Job job, JobShares shares) {
    TeamId team = job.spec().team();
    EntityTotals totals =
        teams.computeIfAbsent(
            team.value(), key -> new EntityTotals(state.quotas().fairShareWeight(team)));
    totals.limit = state.quotas().limit(team).dominantShareOf(capacity.total());
    totals.add(shares);
  }

  private EntityGroup classGroup(Map<String, EntityTotals> classes) {
    List<ShareEntity> entities = new ArrayList<>();
    classes.forEach(
        (name, totals) -> entities.add(totals.toEntity(name, capacity.shareOfTypes(totals.types))));
    return new EntityGroup(job -> job.spec().jobClass(), entities, minimumShare);
  }

  private EntityGroup teamGroup(Map<String, EntityTotals> teams) {
    List<ShareEntity> entities = new ArrayList<>();
    teams.forEach((name, totals) -> entities.add(totals.toEntity(name, totals.limit)));
    return new EntityGroup(job -> job.spec().team().value(), entities, minimumShare);
  }

  /** The weight of a class: it doubles with each step of priority. */
  private static double weight(Priority priority) {
    return 1 << (Priority.LOW.rank() - priority.rank());
  }

  /**
   * Tells operators that minimum shares take effect: logs only while an entity has a claim, and at
   * most once per interval.
   */
  private void logClaims(ShareSnapshot snapshot, MonotonicTime now) {
    boolean claimed = snapshot.groups().stream().anyMatch(EntityGroup::hasClaims);
    boolean due = loggedAt.isEmpty() || now.since(loggedAt.get()).compareTo(LOG_INTERVAL) >= 0;
    if (claimed && due) {
      loggedAt = Optional.of(now);
      LOG.info(
          "minimum shares in effect, {}",
          snapshot.groups().stream().map(EntityGroup::describe).collect(Collectors.joining(" ")));
    }
  }
}
