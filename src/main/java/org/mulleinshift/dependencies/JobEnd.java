package org.mulleinshift.dependencies;

import org.mulleinshift.protocol.JobPhase;

/**
 * How a job ended, as stored.
 *
 * @param phase the terminal phase
 * @param endedAtMillis wall-clock time of the end in milliseconds, of a job that was done
 */
record JobEnd(JobPhase phase, long endedAtMillis) {}
