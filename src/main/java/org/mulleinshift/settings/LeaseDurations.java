package org.mulleinshift.settings;

import java.time.Duration;

/**
 * Divides the time in which a cancelled job must be gone between the leases that may have to expire
 * for it.
 */
public final class LeaseDurations {
  private static final Duration MIN_SHARD_LEASE = Duration.ofSeconds(2);

  private LeaseDurations() {}

  /**
   * The longest shard lease with which a cancelled job's tasks are certainly gone in time: an owner
   * that is cut off acts until its lease expires, and its workers run on for a worker lease.
   */
  public static Duration maxShardLease(PlatformSettings.WorkerTiming workers, Tunables tunables) {
    return workers
        .cancelWithin()
        .minus(workers.lease())
        .minus(tunables.seconds(Tunables.Key.CANCEL_MARGIN_S));
  }

  /**
   * Checks that there is time enough for a shard lease: else a cancelled task could run on when an
   * owner is cut off.
   *
   * @param file names the platform's file in errors
   * @throws SettingsException if there is not
   */
  public static void checkShardLease(
      String file, PlatformSettings.WorkerTiming workers, Tunables tunables)
      throws SettingsException {
    if (maxShardLease(workers, tunables).compareTo(MIN_SHARD_LEASE) < 0) {
      throw new SettingsException(
          file
              + ": cluster.workers.cancel_s: leaves less than "
              + MIN_SHARD_LEASE.toSeconds()
              + " s for a shard lease beside lease_s and "
              + Tunables.Key.CANCEL_MARGIN_S.yamlName());
    }
  }
}
