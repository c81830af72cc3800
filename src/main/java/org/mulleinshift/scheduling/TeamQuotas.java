package org.mulleinshift.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.TeamId;
import org.mulleinshift.settings.PlatformSettings;

/** The teams' limits and guarantees. What is assigned counts as running until its end is stored. */
public final class TeamQuotas {
  private static final double NO_LIMIT = 1e12;
  private static final Resources UNLIMITED = new Resources(NO_LIMIT, NO_LIMIT, NO_LIMIT);

  /** Keeps rounding from taking a team that uses just its guarantee for one that uses more. */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private final Map<String, PlatformSettings.Team> teams = new HashMap<>();

  /** The quotas of a deployment's teams. */
  public TeamQuotas(List<PlatformSettings.Team> teams) {
    teams.forEach(team -> this.teams.put(team.name(), team));
  }

  /** What the assigned tasks of each team take; teams without any are left out. */
  public static Map<TeamId, Resources> usageByTeam(Collection<Job> jobs) {
    Map<TeamId, Resources> usage = new HashMap<>();
    for (Job job : jobs) {
      if (!job.assignments().isEmpty()) {
        usage.merge(job.spec().team(), job.assignedResources(), Resources::plus);
      }
    }
    return usage;
  }

  /** How many more of the job's tasks its team may run; none if the team is not known. */
  public int tasksWithinLimit(Job job, Resources used) {
    TeamId team = job.spec().team();
    return find(team).isEmpty() ? 0 : job.spec().perTask().countIn(limit(team).minus(used));
  }

  /** The maximum that a team may use at once. */
  Resources limit(TeamId id) {
    return find(id)
        .map(
            team ->
                new Resources(limitOrNone(team.maxCpus()), limitOrNone(team.maxGpus()), NO_LIMIT))
        .orElse(UNLIMITED);
  }

  /** In the settings, 0 stands for no limit. */
  private static double limitOrNone(double limit) {
    return limit > 0 ? limit : NO_LIMIT;
  }

  /** The processors that a team is guaranteed. */
  double guaranteedCpus(TeamId team) {
    return find(team).map(PlatformSettings.Team::guaranteedCpus).orElse(0.0);
  }

  /** Whether the team is guaranteed so many processors; a team that is not known has 0. */
  boolean isWithinGuaranteedCpus(TeamId team, double cpus) {
    return cpus <= guaranteedCpus(team) + ROUNDING_TOLERANCE;
  }

  /** Whether the team is known and guaranteed as many processors and accelerators as these. */
  boolean isWithinGuarantee(TeamId id, Resources resources) {
    return find(id)
        .filter(
            team ->
                resources.cpus() <= team.guaranteedCpus() + ROUNDING_TOLERANCE
                    && resources.gpus() <= team.guaranteedGpus() + ROUNDING_TOLERANCE)
        .isPresent();
  }

  /** A team's weight in fair shares: the same for all, plus its part of all guarantees. */
  double fairShareWeight(TeamId team) {
    double allGuaranteed =
        teams.values().stream().mapToDouble(PlatformSettings.Team::guaranteedCpus).sum();
    double ofGuarantees = allGuaranteed > 0 ? guaranteedCpus(team) / allGuaranteed : 0;
    return 1.0 / Math.max(1, teams.size()) + ofGuarantees;
  }

  private Optional<PlatformSettings.Team> find(TeamId team) {
    return Optional.ofNullable(teams.get(team.value()));
  }
}
