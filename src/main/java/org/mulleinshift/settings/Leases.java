package org.mulleinshift.settings;

import java.time.Duration;

/**
 * How the time that a cancellation has is shared between the leases that it may have to outlive.
 */
public final class Leases {
  private static final Duration LEAST = Duration.ofSeconds(2);

  private Leases() {}

  /**
   * The longest shard lease with which a cancelled job's tasks are surely gone in time: an owner
   * that hears nothing acts until its lease is over, and its workers run on for a worker lease.
   */
  public static Duration shard(PlatformSettings.WorkerTiming workers, Tunables tunables) {
    return workers
        .cancel()
        .minus(workers.lease())
        .minus(tunables.seconds(Tunables.Key.CANCEL_MARGIN_S));
  }

  /** Leases that do not fit would break a rule on the first bad day; better not to start. */
  public static void check(String file, PlatformSettings.WorkerTiming workers, Tunables tunables)
      throws SettingsException {
    if (shard(workers, tunables).compareTo(LEAST) < 0) {
      throw new SettingsException(
          file
              + ": cluster.workers.cancel_s: leaves less than "
              + LEAST.toSeconds()
              + " s for a block lease beside lease_s and "
              + Tunables.Key.CANCEL_MARGIN_S.yaml());
    }
  }
}
