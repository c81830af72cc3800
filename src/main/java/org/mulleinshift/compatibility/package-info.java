/**
 * Controllers of several builds side by side: which stored forms all of them read, and jobs whose
 * stored form this build can't read.
 */
package org.mulleinshift.compatibility;
