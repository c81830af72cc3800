package org.mulleinshift.fairness;

/**
 * An entity that has a fair share: a class of jobs or a team. Amounts are dominant shares:
 * fractions of the whole cluster, measured by the resource of which a task takes the largest
 * fraction.
 *
 * @param name identifies the entity among those that share the cluster
 * @param weight relative to the weights of the others, above 0
 * @param inUse the share that its assigned tasks take
 * @param demand {@code inUse} plus what its waiting tasks request
 * @param reachable the part of the cluster that its tasks may run on
 */
public record ShareEntity(
    String name, double weight, double inUse, double demand, double reachable) {
  /** The demand, capped at the part of the cluster that the tasks may run on. */
  double reachableDemand() {
    return Math.min(demand, reachable);
  }

  /** The share that the waiting tasks request; never negative. */
  double waitingDemand() {
    return Math.max(0, demand - inUse);
  }
}
