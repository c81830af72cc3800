package org.mulleinshift.membership;

/** Whether this controller may act as the leader of one term. */
public interface LeadershipTerm {
  /** The term has loaded its state and has not ended. */
  boolean isActive();

  /** By this controller's own clock no other controller can lead now. */
  boolean hasValidLease();
}
