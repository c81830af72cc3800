package org.mulleinshift.dependencies;

import org.mulleinshift.model.Job;

/**
 * A waiting job whose dependencies are expected to be done within a given time.
 *
 * @param job the waiting job
 * @param secondsUntilRelease expected time from now until the job is released, in seconds
 */
public record ExpectedRelease(Job job, double secondsUntilRelease) {}
