/**
 * Checks of the protocol's invariants against the tasks that really run and the responses that
 * users receive. Nothing here reads a controller's internal state.
 */
package org.mulleinshift.invariants;
