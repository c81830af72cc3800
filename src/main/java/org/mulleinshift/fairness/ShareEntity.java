package org.mulleinshift.fairness;

/**
 * Whoever has a fair part: a class of jobs or a team. Amounts are shares of the whole fleet, by the
 * resource of which a task takes most (dominant shares).
 *
 * @param weight its weight beside the others, above 0
 * @param inUse what its tasks have out
 * @param demand that, and what its waiting tasks ask for
 * @param reachable how much of the fleet its tasks may be on
 */
public record ShareEntity(
    String name, double weight, double inUse, double demand, double reachable) {
  /** What it could use. */
  double wanted() {
    return Math.min(demand, reachable);
  }

  double waiting() {
    return Math.max(0, demand - inUse);
  }
}
