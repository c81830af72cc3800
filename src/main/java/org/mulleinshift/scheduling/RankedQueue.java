package org.mulleinshift.scheduling;

/**
 * The queue as one cycle sees it.
 *
 * @param ranking the order of the jobs
 * @param shares the shares of classes and teams that the order was derived from
 */
record RankedQueue(JobRanking ranking, ShareSnapshot shares) {}
