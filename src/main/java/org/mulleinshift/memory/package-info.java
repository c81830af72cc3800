/**
 * Memory limits: the memory budget of the process, and the memory pressure by which requests are
 * refused when the heap is nearly full.
 */
package org.mulleinshift.memory;
