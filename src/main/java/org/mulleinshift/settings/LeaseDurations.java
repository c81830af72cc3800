package org.mulleinshift.settings;

import java.time.Duration;

/**
 * Derives the shard lease from the time within which the tasks of a cancelled job must have
 * stopped: a shard lease and a worker lease may have to expire within it, one after the other.
 */
public final class LeaseDurations {
  private static final Duration MIN_SHARD_LEASE = Duration.ofSeconds(2);

  private LeaseDurations() {}

  /**
   * The longest shard lease with which a cancelled job's tasks are sure to stop in time: a
   * partitioned owner acts until its lease expires, and its workers run on for another worker
   * lease.
   */
  public static Duration maxShardLease(PlatformSettings.WorkerTiming workers, Tunables tunables) {
    return workers
        .cancelWithin()
        .minus(workers.lease())
        .minus(tunables.seconds(Tunables.Key.CANCEL_MARGIN_S));
  }

  /**
   * Checks that enough time is left for a shard lease; otherwise a cancelled task could run on for
   * too long when its owner is partitioned.
   *
   * @param file path of the platform's settings file, for the error message
   * @throws SettingsException if the time left is too short
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
