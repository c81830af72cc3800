/**
 * Cluster membership: session leases in the store, leader election and failover, failure detection,
 * lease renewal through a peer, and the assignment of shards to controllers.
 */
package org.mulleinshift.membership;
