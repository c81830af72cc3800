/**
 * Persistence of job progress: chunks under keys of their own, or group commit to a log of bounded
 * size.
 */
package org.mulleinshift.progress;
