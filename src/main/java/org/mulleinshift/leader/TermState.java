package org.mulleinshift.leader;

import org.mulleinshift.membership.LeadershipTerm;
import org.mulleinshift.sharding.ShardTable;

/** The state of a term as exposed to its components, which also notify it of changes. */
interface TermState extends LeadershipTerm, ShardTable.Listener {
  /** The term is still loading its stored state. */
  boolean isLoading();

  /** The term has not ended; it may still be loading its state. */
  boolean isOngoing();

  /** Requests a scheduling cycle, after a change that may allow tasks to be assigned. */
  void scheduleCycle();
}
