/**
 * Which controllers take part: the session lease at the store, leader election and failover,
 * failure detection, lease renewal through a peer, and which controller should own which shard.
 */
package org.mulleinshift.membership;
