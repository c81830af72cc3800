package org.mulleinshift.fairness;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Weighted max-min shares (water filling): whoever wants less than its part gets all it wants, and
 * the rest is shared again among the others by weight.
 */
public final class MaxMinFairShare {
  private final Map<String, Double> shares = new HashMap<>();

  private MaxMinFairShare() {}

  public static MaxMinFairShare of(Collection<ShareEntity> parties) {
    MaxMinFairShare fair = new MaxMinFairShare();
    List<ShareEntity> open = new ArrayList<>(parties);
    double left = 1;
    boolean settled = true;
    while (settled && !open.isEmpty()) {
      double weights = open.stream().mapToDouble(ShareEntity::weight).sum();
      double level = Math.max(0, left) / weights;
      List<ShareEntity> content =
          open.stream().filter(party -> party.wanted() <= level * party.weight()).toList();
      settled = !content.isEmpty();
      for (ShareEntity party : settled ? content : open) {
        double part = settled ? party.wanted() : level * party.weight();
        fair.shares.put(party.name(), part);
        left -= part;
      }
      open.removeAll(content);
    }
    return fair;
  }

  /** The share of the fleet that is the party's; 0 if it was not among them. */
  public double of(String name) {
    return shares.getOrDefault(name, 0.0);
  }
}
