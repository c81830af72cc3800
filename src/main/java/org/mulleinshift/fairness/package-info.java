/**
 * What no class and no team goes without: fair parts of the fleet, claims on room that frees, and
 * the choice of jobs that can still be in time. Knows shares and times only, nothing of leaders,
 * machines or shards.
 */
package org.mulleinshift.fairness;
