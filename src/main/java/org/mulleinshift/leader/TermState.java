package org.mulleinshift.leader;

import org.mulleinshift.membership.LeadershipTerm;
import org.mulleinshift.sharding.ShardTable;

/** A term as its components see it: how far it has come, and whom they notify of changes. */
interface TermState extends LeadershipTerm, JobLifecycle.Term, ShardTable.Listener {
  /** Whether the term still loads what is stored. */
  boolean loading();

  @Override
  boolean isActive();
}
