/**
 * Which waiting task gets capacity next: quotas, ranking, minimum shares, preemption and reserved
 * capacity.
 */
package org.mulleinshift.scheduling;
