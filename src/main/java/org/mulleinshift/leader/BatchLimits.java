package org.mulleinshift.leader;

import java.time.Duration;
import org.mulleinshift.settings.PlatformSettings;

/**
 * Limits on the size and the rate of the leader's transactions.
 *
 * @param maxOperations maximum number of writes in a transaction
 * @param minInterval minimum time between two transactions
 */
record BatchLimits(int maxOperations, Duration minInterval) {
  /** Share of the store's request rate that the leader's transactions may use. */
  private static final double REQUEST_SHARE = 0.2;

  /** Ending a job takes two writes, which must be in the same transaction. */
  private static final int MIN_OPERATIONS = 2;

  private static final double NANOS_PER_SECOND = 1e9;

  static BatchLimits of(PlatformSettings.StoreLimits limits) {
    // The store would refuse a transaction that exceeds its burst limit however often it is
    // retried, so the size is limited to half a second's writes at the reduced rate.
    int burst = (int) (limits.writesPerSecond() * limits.writesShareAfterReduction() / 2);
    int operations =
        Math.min(limits.lowestMaxTransactionOperations(), Math.max(MIN_OPERATIONS, burst));
    double requests =
        limits.requestsPerSecond() * limits.requestsShareAfterReduction() * REQUEST_SHARE;
    return new BatchLimits(operations, Duration.ofNanos((long) (NANOS_PER_SECOND / requests)));
  }
}
