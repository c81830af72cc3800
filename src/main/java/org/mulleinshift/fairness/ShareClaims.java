package org.mulleinshift.fairness;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What entities may take of available capacity before the usual order applies. An entity claims up
 * to its minimum share, a stated part of its fair share or of its share by weight, and only while
 * another uses more than its own fair share: as long as none does, the usual order stands. What has
 * run in a window shows in what is in use now, so there is no state, and a new leader computes the
 * same claims as the old one.
 */
public final class ShareClaims {
  /** Differences up to this are due to rounding. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final Map<String, Double> minimums = new LinkedHashMap<>();
  private final Map<String, Double> claims = new LinkedHashMap<>();

  private ShareClaims() {}

  /**
   * Claims of entities that share one cluster.
   *
   * @param minimumShare how much of its fair share is an entity's minimum share; 0: there are no
   *     minimum shares
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

  /** What each entity with a claim may take first, by name, as a share of the cluster. */
  public Map<String, Double> claims() {
    return claims;
  }

  /** The share of the cluster within which the entity's work is not preempted for others. */
  public double minimumShare(String name) {
    return minimums.getOrDefault(name, 0.0);
  }
}
