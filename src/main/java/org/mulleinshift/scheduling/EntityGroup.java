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

/**
 * The entities of one kind (job classes or teams) that share the cluster, with their minimum shares
 * and the claims that remain in this cycle.
 */
final class EntityGroup {
  /** Keeps a rounding error from turning a claim of whole tasks into one task more. */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private static final int PERCENT = 100;

  private final Function<Job, String> entityNameOf;
  private final Map<String, ShareEntity> entities = new HashMap<>();
  private final ShareClaims claims;
  private final Map<String, Double> remainingClaims;

  /**
   * Computes the claims of the entities.
   *
   * @param entityNameOf the name of a job's entity
   * @param all the entities; their order affects the rounding of the shares
   * @param minimumShare the part of its fair share that is an entity's minimum share
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

  /** Whether any entity had a claim at the start of the cycle. */
  boolean hasClaims() {
    return !remainingClaims.isEmpty();
  }

  /**
   * How many of the job's tasks its entity may still claim.
   *
   * @param sharePerTask the share of the cluster that one task takes
   */
  int claimableTasks(Job job, double sharePerTask) {
    double remaining = remainingClaims.getOrDefault(entityNameOf(job), 0.0);
    return sharePerTask > 0 && remaining > 0
        ? (int) Math.ceil(remaining / sharePerTask - ROUNDING_TOLERANCE)
        : 0;
  }

  /** Reduces the claim of the job's entity by a share of the cluster that was assigned to it. */
  void consumeClaim(Job job, double share) {
    remainingClaims.merge(entityNameOf(job), -share, Double::sum);
  }

  /**
   * The share of the cluster that the job's entity uses beyond its minimum share; negative if it
   * uses less.
   */
  double shareAboveMinimum(Job job) {
    ShareEntity entity = entities.get(entityNameOf(job));
    return entity == null ? 0 : entity.inUse() - claims.minimumShare(entity.name());
  }

  /**
   * Formats the use, minimum share and demand of each entity, in percent of the cluster, for the
   * log.
   */
  String describe() {
    return entities.values().stream().map(this::describe).collect(Collectors.joining(" "));
  }

  private String describe(ShareEntity entity) {
    return String.format(
        Locale.ROOT,
        "%s=(in_use=%.0f%% minimum=%.0f%% demand=%.0f%%)",
        entity.name(),
        PERCENT * entity.inUse(),
        PERCENT * claims.minimumShare(entity.name()),
        PERCENT * entity.demand());
  }
}
