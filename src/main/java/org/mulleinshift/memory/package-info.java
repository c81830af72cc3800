/**
 * How much a controller may hold at once, and what it gives up first when that runs short. See
 * {@code docs/margin.md}.
 */
package org.mulleinshift.memory;
