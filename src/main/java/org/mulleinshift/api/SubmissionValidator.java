package org.mulleinshift.api;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.protocol.JobKind;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.settings.PlatformSettings;

/** Detects jobs that can never run, so that they are rejected instead of waiting forever. */
final class SubmissionValidator {
  /** Tolerated excess over a team's limit, for rounding errors in sums over a job's tasks. */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private final MachineTypeCatalog catalog;
  private final Map<String, PlatformSettings.Team> teams = new LinkedHashMap<>();

  SubmissionValidator(MachineTypeCatalog catalog, List<PlatformSettings.Team> teams) {
    this.catalog = catalog;
    teams.forEach(team -> this.teams.put(team.name(), team));
  }

  /** Whether the machine types are loaded; {@link #findViolation} requires them. */
  boolean isReady() {
    return catalog.isLoaded();
  }

  /** Returns the reason why the job can never run; empty if it can. */
  Optional<String> findViolation(JobSpec spec) {
    PlatformSettings.Team team = teams.get(spec.team().value());
    if (team == null) {
      return Optional.of("unknown team");
    }
    if (!fitsAnyMachineType(spec)) {
      return Optional.of("a task fits no allowed machine type");
    }
    return exceedsLimit(spec, team) ? Optional.of("more than the team's limit") : Optional.empty();
  }

  private boolean fitsAnyMachineType(JobSpec spec) {
    return catalog.types().values().stream()
        .filter(type -> spec.allowsType(type.id()) && spec.perTask().fitsInto(type.size()))
        .anyMatch(type -> isOffered(type, spec));
  }

  /**
   * Whether the type is offered in a zone that the job allows; a type that lists no zones counts as
   * offered in all.
   */
  private static boolean isOffered(MachineType type, JobSpec spec) {
    return type.zones().isEmpty() || type.zones().stream().anyMatch(spec::allowsZone);
  }

  private static boolean exceedsLimit(JobSpec spec, PlatformSettings.Team team) {
    int concurrentTasks = spec.kind() == JobKind.ARRAY ? 1 : spec.taskCount();
    return exceeds(spec.perTask().cpus() * concurrentTasks, team.maxCpus())
        || exceeds(spec.perTask().gpus() * concurrentTasks, team.maxGpus());
  }

  /** A limit of 0 means unlimited. */
  private static boolean exceeds(double amount, double limit) {
    return limit > 0 && amount > limit + ROUNDING_TOLERANCE;
  }
}
