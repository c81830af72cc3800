package org.mulleinshift.scheduling;

/**
 * The ranking of the queue for one cycle.
 *
 * @param ranking the jobs in ranking order
 * @param shares the shares of classes and teams that the ranking was computed from
 */
record RankedQueue(JobRanking ranking, ShareSnapshot shares) {}
