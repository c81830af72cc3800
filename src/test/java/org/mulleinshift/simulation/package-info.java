/**
 * Simulates a whole cluster in one thread: real controllers with a simulated network, store, cloud,
 * workers and users. This package defines how everything outside the controllers behaves and fails.
 */
package org.mulleinshift.simulation;
