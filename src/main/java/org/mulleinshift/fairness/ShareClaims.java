package org.mulleinshift.fairness;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Claims of entities on available capacity, which are served before the ranking of jobs applies. An
 * entity's minimum share is a fraction of its fair share or of its share by weight, whichever is
 * larger, and at most its reachable demand. An entity below it claims the difference, up to what
 * its waiting tasks request, but only while some entity uses more than its fair share; otherwise
 * the ranking alone decides. Recent use shows in what is in use now, so no history is kept, and a
 * new leader computes the same claims as the previous one.
 */
public final class ShareClaims {
  /** Smaller differences are attributed to rounding. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final Map<String, Double> minimums = new LinkedHashMap<>();
  private final Map<String, Double> claims = new LinkedHashMap<>();

  private ShareClaims() {}

  /**
   * Computes the claims of entities that share one cluster.
   *
   * @param minimumShare the minimum share as a fraction of an entity's fair share or share by
   *     weight; 0: there are no minimum shares
   */
  public static ShareClaims of(Collection<ShareEntity> entities, double minimumShare) {
    ShareClaims result = new ShareClaims();
    if (entities.size() < 2 || minimumShare <= 0) {
      return result;
    }
    MaxMinFairShare fair = MaxMinFairShare.of(entities);
    boolean anyAboveFairShare =
        entities.stream()
            .anyMatch(entity -> entity.inUse() > fair.shareOf(entity.name()) + ROUNDING_TOLERANCE);
    double totalWeight = entities.stream().mapToDouble(ShareEntity::weight).sum();
    for (ShareEntity entity : entities) {
      double share = Math.max(fair.shareOf(entity.name()), entity.weight() / totalWeight);
      double minimum = Math.min(entity.reachableDemand(), minimumShare * share);
      result.minimums.put(entity.name(), minimum);
      double missing = Math.min(minimum - entity.inUse(), entity.waitingDemand());
      if (anyAboveFairShare && missing > ROUNDING_TOLERANCE) {
        result.claims.put(entity.name(), missing);
      }
    }
    return result;
  }

  /** The claimed share of the cluster by entity name; entities without a claim are absent. */
  public Map<String, Double> claims() {
    return claims;
  }

  /**
   * The share of the cluster below which the entity's tasks are not preempted for other entities; 0
   * without minimum shares.
   */
  public double minimumShare(String name) {
    return minimums.getOrDefault(name, 0.0);
  }
}
