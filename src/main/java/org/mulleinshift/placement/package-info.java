/**
 * Placement constraints and bin packing of tasks onto machines. Used by the leader's plans and the
 * shard owners' placements.
 */
package org.mulleinshift.placement;
