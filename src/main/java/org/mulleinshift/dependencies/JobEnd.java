package org.mulleinshift.dependencies;

import org.mulleinshift.protocol.JobPhase;

/**
 * The stored end of a job.
 *
 * @param phase the terminal phase
 * @param endedAtMillis wall-clock time of the end in milliseconds; 0 if the stored end has none.
 *     Used only if the job is done.
 */
record JobEnd(JobPhase phase, long endedAtMillis) {}
