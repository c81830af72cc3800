/**
 * The scheduling cycle: decides which waiting tasks get capacity, by ranking, quotas, minimum
 * shares, reservations and preemption.
 */
package org.mulleinshift.scheduling;
