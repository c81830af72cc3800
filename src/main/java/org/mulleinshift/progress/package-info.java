/**
 * Persistence of job progress, in chunks under their own keys or by group commit to a log of
 * bounded size.
 */
package org.mulleinshift.progress;
