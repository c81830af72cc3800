/**
 * Sizes the cluster to the queue: simulates the queue over one boot time, provisions machines for
 * the shortage, and releases machines that are idle or surplus.
 */
package org.mulleinshift.autoscaling;
