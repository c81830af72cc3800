/**
 * One term of leadership: loads the stored state, then drives scheduling, autoscaling, persistence
 * and shard ownership until the term ends.
 */
package org.mulleinshift.leader;
