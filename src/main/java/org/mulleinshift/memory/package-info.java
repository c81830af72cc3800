/**
 * Memory limits: what the process may hold, and which requests are refused when the heap is nearly
 * full.
 */
package org.mulleinshift.memory;
