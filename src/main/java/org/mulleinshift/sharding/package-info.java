/**
 * Shards of machines: the owner's side, which answers workers and places tasks, and the leader's
 * side, which grants shards and sends owners their assignments.
 *
 * <p>On the owner's side {@link org.mulleinshift.sharding.OwnedShards} adopts and releases shards,
 * and each {@link org.mulleinshift.sharding.ShardOwner} acts for one shard under one grant. On the
 * leader's side {@link org.mulleinshift.sharding.ShardTable} holds what the leader of a term knows
 * of all shards.
 */
package org.mulleinshift.sharding;
