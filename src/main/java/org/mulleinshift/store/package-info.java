/**
 * The client of the key-value store: guarded transactions, leases and watches, the layout of keys,
 * and the batching of the leader's transactions.
 */
package org.mulleinshift.store;
