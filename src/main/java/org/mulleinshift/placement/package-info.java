/**
 * Where tasks may run and how they are packed onto machines. Shared by the leader's plans and the
 * shard owners' placements.
 */
package org.mulleinshift.placement;
