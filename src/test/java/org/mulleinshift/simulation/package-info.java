/**
 * A whole cluster in one thread: real controllers with a simulated network, store, cloud, workers
 * and users. This package owns how the surroundings of the controllers behave, and their faults.
 */
package org.mulleinshift.simulation;
