package org.mulleinshift.membership;

/** One term of this controller as the leader. */
public interface LeadershipTerm {
  /** Whether the term has loaded its state and has not ended. */
  boolean isActive();

  /** Whether, by this controller's monotonic clock, no other controller can lead now. */
  boolean hasValidLease();
}
