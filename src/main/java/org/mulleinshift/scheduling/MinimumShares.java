package org.mulleinshift.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.mulleinshift.fairness.ShareClaims;
import org.mulleinshift.fairness.ShareEntity;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.model.Job;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Priority;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.TeamId;
import org.mulleinshift.protocol.peer.MachineStatus;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.sharding.OwnedMachine;
import org.mulleinshift.sharding.ShardView;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The classes and teams as parties of the floor: what they have, ask for and can reach of the fleet
 * as it stands. All of it follows from what is stored, so it needs no memory of its own.
 */
final class MinimumShares {
  private static final Logger LOG = LoggerFactory.getLogger(MinimumShares.class);
  private static final double LOOK_SECONDS = 1;
  private static final double TELL_SECONDS = 10;

  private final ClusterState state;
  private final double minimumShare;
  private final Map<MachineTypeId, Resources> byType = new HashMap<>();
  private Resources clusterCapacity = Resources.ZERO;
  private Optional<MonotonicTime> loggedAt = Optional.empty();
  private MonotonicTime refreshedAt;
  private boolean refreshed;

  MinimumShares(ClusterState state, double minimumShare, MonotonicTime now) {
    this.state = state;
    this.minimumShare = minimumShare;
    this.refreshedAt = now;
  }

  /** What a party is summed up from. */
  private static final class Accumulator {
    private final double weight;
    private final Set<MachineTypeId> types = new HashSet<>();
    private double inUse;
    private double demand;
    private double most = 1;

    Accumulator(double weight) {
      this.weight = weight;
    }
  }

  /** The classes, or the teams, and what they may claim. */
  static final class EntityGroup {
    private final Function<Job, String> entityOf;
    private final Map<String, ShareEntity> entities = new HashMap<>();
    private final ShareClaims claims;
    private final Map<String, Double> remaining;

    private EntityGroup(
        Function<Job, String> partyOf, Collection<ShareEntity> all, double floorShare) {
      this.entityOf = partyOf;
      this.claims = ShareClaims.of(all, floorShare);
      this.remaining = new HashMap<>(claims.claims());
      all.forEach(party -> entities.put(party.name(), party));
    }

    String entityOf(Job job) {
      return entityOf.apply(job);
    }

    boolean hasClaims() {
      return !remaining.isEmpty();
    }

    /** How many of the job's tasks, each of such a share, its party may still claim. */
    int claimableTasks(Job job, double share) {
      double open = remaining.getOrDefault(entityOf(job), 0.0);
      return share > 0 && open > 0 ? (int) Math.ceil(open / share - 1e-6) : 0;
    }

    void onClaimed(Job job, double shares) {
      remaining.merge(entityOf(job), -shares, Double::sum);
    }

    /** Each party's share of the fleet, its floor, and what it asks for, in percent. */
    String describe() {
      return entities.values().stream()
          .map(
              party ->
                  String.format(
                      Locale.ROOT,
                      "%s has %.0f%%, floor %.0f%%, asks for %.0f%%",
                      party.name(),
                      100 * party.inUse(),
                      100 * claims.minimum(party.name()),
                      100 * party.demand()))
          .collect(Collectors.joining(", "));
    }

    /** What the job's party uses beyond its floor. */
    double aboveMinimum(Job job) {
      ShareEntity own = entities.get(entityOf(job));
      return own == null ? 0 : own.inUse() - claims.minimum(own.name());
    }
  }

  /**
   * How classes and teams stand in one cycle.
   *
   * @param clusterCapacity all that can be used
   */
  record Snapshot(Resources clusterCapacity, List<EntityGroup> groups) {
    /** The share of the fleet that one task takes. */
    double share(Job job) {
      return job.spec().perTask().shareOf(clusterCapacity);
    }
  }

  Snapshot snapshot(Collection<Job> jobs, Map<TeamId, Resources> use, MonotonicTime now) {
    if (!refreshed || now.secondsSince(refreshedAt) >= LOOK_SECONDS) {
      refreshCapacity();
      refreshedAt = now;
    }
    Map<String, Accumulator> classes = new HashMap<>();
    Map<String, Accumulator> teams = new HashMap<>();
    for (Job job : jobs) {
      double share = job.spec().perTask().shareOf(clusterCapacity);
      double out = share * job.assignedCount();
      double asked = 0;
      if (job.state() == Job.State.ACTIVE && job.waitingCount() > 0) {
        Resources used = use.getOrDefault(job.spec().team(), Resources.ZERO);
        int may =
            Math.min(
                state.quotas().tasksWithinLimit(job, used),
                state.failures().allowedAttempts(job, now));
        asked = share * Math.min(may, job.waitingCount());
      }
      Accumulator ofClass =
          classes.computeIfAbsent(
              job.spec().jobClass(), key -> new Accumulator(weight(job.spec().priority())));
      ResourceRequest need = ResourceRequest.of(job.spec());
      for (MachineType type : state.catalog().types().values()) {
        if (need.fits(type)) {
          ofClass.types.add(type.id());
        }
      }
      Accumulator ofTeam =
          teams.computeIfAbsent(
              job.spec().team().value(), key -> new Accumulator(weight(job.spec().team())));
      ofTeam.most = state.quotas().limit(job.spec().team()).shareOf(clusterCapacity);
      ofClass.inUse += out;
      ofClass.demand += out + asked;
      ofTeam.inUse += out;
      ofTeam.demand += out + asked;
    }
    List<ShareEntity> ofClasses = new ArrayList<>();
    classes.forEach((name, sum) -> ofClasses.add(entity(name, sum, reachableShare(sum.types))));
    List<ShareEntity> ofTeams = new ArrayList<>();
    teams.forEach((name, sum) -> ofTeams.add(entity(name, sum, sum.most)));
    Snapshot picture =
        new Snapshot(
            clusterCapacity,
            List.of(
                new EntityGroup(job -> job.spec().jobClass(), ofClasses, minimumShare),
                new EntityGroup(job -> job.spec().team().value(), ofTeams, minimumShare)));
    logClaims(picture, now);
    return picture;
  }

  /** Operators see that floors act: seldom, and only then. */
  private void logClaims(Snapshot picture, MonotonicTime now) {
    boolean claimed = picture.groups().stream().anyMatch(EntityGroup::hasClaims);
    if (claimed && (loggedAt.isEmpty() || now.secondsSince(loggedAt.get()) >= TELL_SECONDS)) {
      loggedAt = Optional.of(now);
      LOG.info(
          "floors act: {}",
          picture.groups().stream().map(EntityGroup::describe).collect(Collectors.joining("; ")));
    }
  }

  private static ShareEntity entity(String name, Accumulator sum, double reach) {
    return new ShareEntity(name, sum.weight, sum.inUse, sum.demand, reach);
  }

  /** Twice the part for each step of priority. */
  private static double weight(Priority priority) {
    return 1 << (Priority.LOW.rank() - priority.rank());
  }

  /** Alike, and more by its part of all guarantees. */
  private double weight(TeamId team) {
    Map<String, PlatformSettings.Team> all = state.quotas().teams();
    double sum = all.values().stream().mapToDouble(PlatformSettings.Team::cpus).sum();
    double own = state.quotas().guaranteedCpus(team);
    return 1.0 / Math.max(1, all.size()) + (sum > 0 ? own / sum : 0);
  }

  private double reachableShare(Set<MachineTypeId> types) {
    Resources reached = Resources.ZERO;
    for (MachineTypeId type : types) {
      reached = reached.plus(byType.getOrDefault(type, Resources.ZERO));
    }
    return clusterCapacity.cpus() > 0 ? reached.cpus() / clusterCapacity.cpus() : 1;
  }

  /** Machines that are there or on their way; not what is known to be silent or leaving. */
  private void refreshCapacity() {
    refreshed = true;
    byType.clear();
    clusterCapacity = Resources.ZERO;
    for (ShardView shard : state.shards().all()) {
      for (Map.Entry<MachineId, MachineRecord> entry : shard.machines().entrySet()) {
        MachineStatus report = shard.statusOf(entry.getKey()).orElse(null);
        boolean silent =
            report != null && !report.getLiveness().equals(OwnedMachine.Liveness.ALIVE.wireName());
        MachineType type = state.catalog().type(entry.getValue().type()).orElse(null);
        if (type != null && !silent && !state.isCordoned(entry.getKey())) {
          byType.merge(type.id(), type.size(), Resources::plus);
          clusterCapacity = clusterCapacity.plus(type.size());
        }
      }
    }
  }
}
