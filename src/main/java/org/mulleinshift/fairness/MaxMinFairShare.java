package org.mulleinshift.fairness;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Weighted max-min fair shares (water filling): an entity whose demand is below its share by weight
 * gets its whole demand, and the rest is divided among the others by weight.
 */
public final class MaxMinFairShare {
  private final Map<String, Double> shares = new HashMap<>();

  private MaxMinFairShare() {}

  /** Computes the fair shares of one cluster; the order of the entities affects only rounding. */
  public static MaxMinFairShare of(Collection<ShareEntity> entities) {
    MaxMinFairShare fair = new MaxMinFairShare();
    List<ShareEntity> unsatisfied = new ArrayList<>(entities);
    double remaining = 1;
    boolean progress = true;
    while (progress && !unsatisfied.isEmpty()) {
      double totalWeight = unsatisfied.stream().mapToDouble(ShareEntity::weight).sum();
      double sharePerWeight = Math.max(0, remaining) / totalWeight;
      List<ShareEntity> satisfied =
          unsatisfied.stream()
              .filter(entity -> entity.reachableDemand() <= sharePerWeight * entity.weight())
              .toList();
      progress = !satisfied.isEmpty();
      for (ShareEntity entity : progress ? satisfied : unsatisfied) {
        double share = progress ? entity.reachableDemand() : sharePerWeight * entity.weight();
        fair.shares.put(entity.name(), share);
        remaining -= share;
      }
      unsatisfied.removeAll(satisfied);
    }
    return fair;
  }

  /** The named entity's fair share of the cluster, from 0 to 1; 0 for an unknown entity. */
  public double shareOf(String name) {
    return shares.getOrDefault(name, 0.0);
  }
}
