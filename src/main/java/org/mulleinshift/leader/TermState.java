package org.mulleinshift.leader;

import org.mulleinshift.membership.LeadershipTerm;
import org.mulleinshift.sharding.ShardTable;

/** A term as its components see it: how far it has come, and whom they notify of changes. */
interface TermState extends LeadershipTerm, ShardTable.Listener {
  /** The term still loads what is stored. */
  boolean isLoading();

  /** The term loads what is stored, or has done so, and has not ended. */
  boolean isOngoing();

  /** Something changed that may let tasks be assigned. */
  void scheduleCycle();
}
