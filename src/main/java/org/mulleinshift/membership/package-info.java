/**
 * Who takes part and how well: links, sessions, election, which controllers can hold shards. Knows
 * nothing of jobs, placement or the fleet.
 */
package org.mulleinshift.membership;
