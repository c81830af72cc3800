package org.mulleinshift.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.TeamId;
import org.mulleinshift.settings.PlatformSettings;

/** The teams' limits and guarantees. What is assigned counts as running until its end is stored. */
public final class TeamQuotas {
  private static final double NO_LIMIT = 1e12;

  private final Map<String, PlatformSettings.Team> teams = new HashMap<>();

  public TeamQuotas(List<PlatformSettings.Team> teams) {
    teams.forEach(team -> this.teams.put(team.name(), team));
  }

  Map<String, PlatformSettings.Team> teams() {
    return teams;
  }

  /** What each team has out. */
  public static Map<TeamId, Resources> usageByTeam(Collection<Job> jobs) {
    Map<TeamId, Resources> use = new HashMap<>();
    for (Job job : jobs) {
      if (!job.assignments().isEmpty()) {
        use.merge(job.spec().team(), job.assignedResources(), Resources::plus);
      }
    }
    return use;
  }

  /** How many more of the job's tasks its team may have out. */
  public int tasksWithinLimit(Job job, Resources used) {
    PlatformSettings.Team team = teams.get(job.spec().team().value());
    if (team == null) {
      return 0;
    }
    return job.spec().perTask().countIn(limit(job.spec().team()).minus(used));
  }

  /** The most that a team may have out at once. */
  Resources limit(TeamId id) {
    PlatformSettings.Team team = teams.get(id.value());
    return new Resources(
        team != null && team.cpusMax() > 0 ? team.cpusMax() : NO_LIMIT,
        team != null && team.gpusMax() > 0 ? team.gpusMax() : NO_LIMIT,
        NO_LIMIT);
  }

  /** The processors that a team is guaranteed. */
  double guaranteedCpus(TeamId team) {
    PlatformSettings.Team found = teams.get(team.value());
    return found == null ? 0 : found.cpus();
  }
}
