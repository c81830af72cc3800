package org.mulleinshift.dependencies;

import org.mulleinshift.model.Job;

/**
 * A job that should be released within some time.
 *
 * @param job the job, which waits now
 * @param secondsUntilRelease when it should be released, from now on
 */
public record ExpectedRelease(Job job, double secondsUntilRelease) {}
