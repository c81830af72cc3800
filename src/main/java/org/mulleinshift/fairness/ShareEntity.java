package org.mulleinshift.fairness;

/**
 * An entity that has a fair share: a class of jobs or a team. Amounts are shares of the whole
 * cluster, by the resource of which a task takes most (dominant shares).
 *
 * @param name identifies the entity among those that share the cluster
 * @param weight its weight beside the others, above 0
 * @param inUse what its assigned tasks take
 * @param demand that, and what its waiting tasks request
 * @param reachable how much of the cluster its tasks may be on
 */
public record ShareEntity(
    String name, double weight, double inUse, double demand, double reachable) {
  /** What the entity could use. */
  double reachableDemand() {
    return Math.min(demand, reachable);
  }

  /** What the entity's waiting tasks request. */
  double waitingDemand() {
    return Math.max(0, demand - inUse);
  }
}
