/**
 * Shards of machines: the owner's side, which answers workers and places tasks, and the leader's
 * side, which grants shards and tells owners their assignments.
 */
package org.mulleinshift.sharding;
