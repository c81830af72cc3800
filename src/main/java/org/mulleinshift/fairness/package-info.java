/**
 * Weighted max-min fair shares and the minimum shares derived from them. Knows shares only: no
 * jobs, machines or shards.
 */
package org.mulleinshift.fairness;
