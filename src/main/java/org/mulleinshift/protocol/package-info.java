/**
 * The interfaces with users, workers, the cloud, the state service and the other controllers.
 *
 * <p>The ids compare and hash in code of their own. What the language generates for a record goes
 * through method handles, which the first-tier compiler that controllers run with does not inline;
 * ids are the keys of nearly every map that a report or a cycle looks into.
 */
package org.mulleinshift.protocol;
