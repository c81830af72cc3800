/**
 * Builds of different age side by side: what of the stored state this build can't read, and what is
 * then left alone. Knows jobs and shards by their ids only.
 */
package org.mulleinshift.compatibility;
