package org.mulleinshift.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.mulleinshift.fairness.ShareClaims;
import org.mulleinshift.fairness.ShareEntity;
import org.mulleinshift.model.Job;

/** The entities of one kind that share the cluster (classes or teams), and what they may claim. */
final class EntityGroup {
  /** Keeps a claim of whole tasks from being rounded up to one more. */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private static final int PERCENT = 100;

  private final Function<Job, String> entityNameOf;
  private final Map<String, ShareEntity> entities = new HashMap<>();
  private final ShareClaims claims;
  private final Map<String, Double> remainingClaims;

  /**
   * Entities and their claims.
   *
   * @param entityNameOf the name of a job's entity
   * @param all the entities; their order matters to the rounding of the shares
   * @param minimumShare how much of its fair share is an entity's minimum share
   */
  EntityGroup(
      Function<Job, String> entityNameOf, Collection<ShareEntity> all, double minimumShare) {
    this.entityNameOf = entityNameOf;
    this.claims = ShareClaims.of(all, minimumShare);
    this.remainingClaims = new HashMap<>(claims.claims());
    all.forEach(entity -> entities.put(entity.name(), entity));
  }

  /** The name of the job's entity. */
  String entityNameOf(Job job) {
    return entityNameOf.apply(job);
  }

  /** Whether any entity had a claim when the cycle began. */
  boolean hasClaims() {
    return !remainingClaims.isEmpty();
  }

  /** How many of the job's tasks, each of such a share, its entity may still claim. */
  int claimableTasks(Job job, double sharePerTask) {
    double remaining = remainingClaims.getOrDefault(entityNameOf(job), 0.0);
    return sharePerTask > 0 && remaining > 0
        ? (int) Math.ceil(remaining / sharePerTask - ROUNDING_TOLERANCE)
        : 0;
  }

  /** Tasks of such a share in all were assigned to the job's entity. */
  void consumeClaim(Job job, double share) {
    remainingClaims.merge(entityNameOf(job), -share, Double::sum);
  }

  /** What the job's entity uses beyond its minimum share; negative if it uses less. */
  double shareAboveMinimum(Job job) {
    ShareEntity entity = entities.get(entityNameOf(job));
    return entity == null ? 0 : entity.inUse() - claims.minimum(entity.name());
  }

  /** Each entity's share of the cluster, minimum share and demand, in percent. */
  String describe() {
    return entities.values().stream().map(this::describe).collect(Collectors.joining(" "));
  }

  private String describe(ShareEntity entity) {
    return String.format(
        Locale.ROOT,
        "%s=(in_use=%.0f%% minimum=%.0f%% demand=%.0f%%)",
        entity.name(),
        PERCENT * entity.inUse(),
        PERCENT * claims.minimum(entity.name()),
        PERCENT * entity.demand());
  }
}
