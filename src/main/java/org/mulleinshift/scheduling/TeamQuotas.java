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

/** The limits and guarantees of teams. Assigned tasks count as in use until their end is stored. */
public final class TeamQuotas {
  private static final double NO_LIMIT = 1e12;
  private static final Resources UNLIMITED = new Resources(NO_LIMIT, NO_LIMIT, NO_LIMIT);

  /**
   * Keeps a rounding error from making a team that uses exactly its guarantee appear to exceed it.
   */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private final Map<String, PlatformSettings.Team> teams = new HashMap<>();

  /** Quotas of the teams that a deployment configures. */
  public TeamQuotas(List<PlatformSettings.Team> teams) {
    teams.forEach(team -> this.teams.put(team.name(), team));
  }

  /**
   * The resources that the assigned tasks of each team use; teams without assigned tasks are left
   * out.
   */
  public static Map<TeamId, Resources> usageByTeam(Collection<Job> jobs) {
    Map<TeamId, Resources> usage = new HashMap<>();
    for (Job job : jobs) {
      if (!job.assignments().isEmpty()) {
        usage.merge(job.spec().team(), job.assignedResources(), Resources::plus);
      }
    }
    return usage;
  }

  /** How many more of the job's tasks its team's limit allows; 0 if the team is not configured. */
  public int tasksWithinLimit(Job job, Resources used) {
    TeamId team = job.spec().team();
    return find(team).isEmpty()
        ? 0
        : job.spec().perTask().countFittingInto(limit(team).minus(used));
  }

  /**
   * The resources that a team may use at most at a time; unlimited if the team is not configured.
   */
  Resources limit(TeamId id) {
    return find(id)
        .map(
            team ->
                new Resources(limitOrNone(team.maxCpus()), limitOrNone(team.maxGpus()), NO_LIMIT))
        .orElse(UNLIMITED);
  }

  /** Converts a limit from the settings, where 0 means that there is none. */
  private static double limitOrNone(double limit) {
    return limit > 0 ? limit : NO_LIMIT;
  }

  /** The number of CPUs that a team is guaranteed; 0 if the team is not configured. */
  double guaranteedCpus(TeamId team) {
    return find(team).map(PlatformSettings.Team::guaranteedCpus).orElse(0.0);
  }

  /**
   * Whether the team is guaranteed at least {@code cpus} CPUs; a team that is not configured has 0.
   */
  boolean isWithinGuaranteedCpus(TeamId team, double cpus) {
    return cpus <= guaranteedCpus(team) + ROUNDING_TOLERANCE;
  }

  /**
   * Whether the team is configured and its guarantee covers the CPUs and GPUs of {@code resources}.
   */
  boolean isWithinGuarantee(TeamId id, Resources resources) {
    return find(id)
        .filter(
            team ->
                resources.cpus() <= team.guaranteedCpus() + ROUNDING_TOLERANCE
                    && resources.gpus() <= team.guaranteedGpus() + ROUNDING_TOLERANCE)
        .isPresent();
  }

  /**
   * A team's weight in fair shares: an equal part for each team, plus the team's part of all
   * guaranteed CPUs.
   */
  double fairShareWeight(TeamId team) {
    double allGuaranteed =
        teams.values().stream().mapToDouble(PlatformSettings.Team::guaranteedCpus).sum();
    double shareOfGuarantees = allGuaranteed > 0 ? guaranteedCpus(team) / allGuaranteed : 0;
    return 1.0 / Math.max(1, teams.size()) + shareOfGuarantees;
  }

  private Optional<PlatformSettings.Team> find(TeamId team) {
    return Optional.ofNullable(teams.get(team.value()));
  }
}
