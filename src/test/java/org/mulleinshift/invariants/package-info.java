/**
 * Checks of the rules of the protocol against what truly runs and what users truly read. Nothing
 * here knows a controller's state.
 */
package org.mulleinshift.invariants;
