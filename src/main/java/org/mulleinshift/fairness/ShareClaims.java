package org.mulleinshift.fairness;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What parties may take of free room before anybody else. A party claims up to its floor, a stated
 * share of its fair part or of its part by weight, and only while another has more than its own
 * fair part: as long as nobody takes too much, the usual order stands. What has run in a window
 * shows in what is in use now, so nothing is remembered, and a new leader claims the same as the
 * old one.
 */
public final class ShareClaims {
  private static final double SLACK = 1e-9;

  private final Map<String, Double> minimums = new LinkedHashMap<>();
  private final Map<String, Double> claims = new LinkedHashMap<>();

  private ShareClaims() {}

  /**
   * Claims of parties that share one fleet.
   *
   * @param floorShare how much of its fair part is a party's floor; 0: there are no floors
   */
  public static ShareClaims of(Collection<ShareEntity> parties, double floorShare) {
    ShareClaims result = new ShareClaims();
    if (parties.size() < 2 || floorShare <= 0) {
      return result;
    }
    MaxMinFairShare fair = MaxMinFairShare.of(parties);
    boolean excess =
        parties.stream().anyMatch(party -> party.inUse() > fair.of(party.name()) + SLACK);
    double weights = parties.stream().mapToDouble(ShareEntity::weight).sum();
    for (ShareEntity party : parties) {
      double own = Math.max(fair.of(party.name()), party.weight() / weights);
      double floor = Math.min(party.wanted(), floorShare * own);
      result.minimums.put(party.name(), floor);
      double missing = Math.min(floor - party.inUse(), party.waiting());
      if (excess && missing > SLACK) {
        result.claims.put(party.name(), missing);
      }
    }
    return result;
  }

  /** What each may take first, as a share of the fleet; only those that claim. */
  public Map<String, Double> claims() {
    return claims;
  }

  /** The share below which the party's work is not stopped for others, whoever wants less. */
  public double minimum(String name) {
    return minimums.getOrDefault(name, 0.0);
  }
}
