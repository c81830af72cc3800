package org.mulleinshift.leader;

import java.time.Duration;
import org.mulleinshift.settings.PlatformSettings;

/**
 * How large and how frequent the leader's transactions may be.
 *
 * @param maxOperations changes of one transaction at most
 * @param spacing shortest time between two transactions
 */
record BatchLimits(int maxOperations, Duration spacing) {
  /** Share of the store's requests that the leader's transactions may use. */
  private static final double REQUEST_SHARE = 0.2;

  /** The changes that end a job are one transaction. */
  private static final int MIN_OPERATIONS = 2;

  private static final double NANOS_PER_SECOND = 1e9;

  static BatchLimits of(PlatformSettings.StoreLimits limits) {
    // A transaction above what the store lets through at once would be refused for ever.
    int burst = (int) (limits.writesPerSecond() * limits.writesShareAfterReduction() / 2);
    int operations =
        Math.min(limits.lowestMaxTransactionOperations(), Math.max(MIN_OPERATIONS, burst));
    double requests =
        limits.requestsPerSecond() * limits.requestsShareAfterReduction() * REQUEST_SHARE;
    return new BatchLimits(operations, Duration.ofNanos((long) (NANOS_PER_SECOND / requests)));
  }
}
