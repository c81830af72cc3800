package org.mulleinshift.autoscaling;

import java.time.Duration;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;

/**
 * Settings of the autoscaler, read once.
 *
 * @param interval time between two runs
 * @param simulationSteps number of steps into which a queue simulation divides its horizon
 * @param immediateResizeShare a shortage of more than this share of the cluster's processors is
 *     provisioned at once
 * @param provisioningBackoff delay before an offer that the cloud refused is requested again
 * @param defaultBootSeconds boot time of a machine type whose catalog entry has none
 * @param abandonedBootFactor multiple of the usual boot time after which a boot is abandoned
 * @param idleSeconds time after which an unused machine is released
 * @param minimumAgeSeconds age that a machine must reach before it is drained or released as idle
 * @param surplusSeconds time after which a machine whose tasks fit elsewhere is drained
 * @param lowPriorityWaitSeconds how long low-priority tasks wait for spot machines
 * @param maxShardMachines maximum number of machines in one shard
 */
public record AutoscalerSettings(
    Duration interval,
    int simulationSteps,
    double immediateResizeShare,
    Duration provisioningBackoff,
    double defaultBootSeconds,
    double abandonedBootFactor,
    double idleSeconds,
    double minimumAgeSeconds,
    double surplusSeconds,
    double lowPriorityWaitSeconds,
    int maxShardMachines) {
  /** Maximum size of the stored form of one machine within its shard's record. */
  private static final int MAX_MACHINE_RECORD_BYTES = 128;

  /**
   * Reads the settings of a deployment. A shard is limited to the number of machines whose record
   * fits into one value of the store.
   */
  public static AutoscalerSettings of(PlatformSettings platform, Tunables tunables) {
    int fittingMachines =
        platform.cluster().storeLimits().lowestMaxValueBytes() / MAX_MACHINE_RECORD_BYTES;
    return new AutoscalerSettings(
        tunables.seconds(Tunables.Key.SIMULATION_INTERVAL_S),
        tunables.count(Tunables.Key.SIMULATION_STEPS),
        tunables.number(Tunables.Key.IMMEDIATE_RESIZE_SHARE),
        tunables.seconds(Tunables.Key.PROVISIONING_BACKOFF_S),
        tunables.number(Tunables.Key.DEFAULT_BOOT_TIME_S),
        tunables.number(Tunables.Key.BOOT_ABANDONED_FACTOR),
        tunables.number(Tunables.Key.IDLE_RELEASE_DELAY_S),
        tunables.number(Tunables.Key.MIN_MACHINE_AGE_S),
        tunables.number(Tunables.Key.SURPLUS_DRAIN_DELAY_S),
        tunables.number(Tunables.Key.LOW_PRIORITY_WAIT_S),
        Math.min(tunables.count(Tunables.Key.MAX_SHARD_MACHINES), fittingMachines));
  }
}
