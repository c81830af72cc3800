/**
 * Compatibility between controllers of different builds in one cluster: feature levels that all
 * members support, and jobs whose stored records this build can't read.
 */
package org.mulleinshift.compatibility;
