/**
 * Shards of machines. A shard is granted to one controller, its owner, which responds to the
 * heartbeats of its workers and places tasks on its machines. The leader grants shards and sends
 * owners their assignments.
 *
 * <p>On the owner's side {@link org.mulleinshift.sharding.OwnedShards} adopts and releases shards,
 * and a {@link org.mulleinshift.sharding.ShardOwner} acts for one shard under one grant. On the
 * leader's side {@link org.mulleinshift.sharding.ShardTable} holds the leader's view of all shards
 * for one term.
 */
package org.mulleinshift.sharding;
