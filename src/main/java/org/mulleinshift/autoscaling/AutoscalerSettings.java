package org.mulleinshift.autoscaling;

import java.time.Duration;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;

/**
 * The settings of the autoscaler, read once.
 *
 * @param interval between two runs
 * @param simulationSteps number of steps of a queue simulation
 * @param immediateResizeShare a shortage above this share of the cluster is provisioned at once
 * @param provisioningBackoff before an offer that the cloud refused is requested again
 * @param defaultBootSeconds boot time of a machine type whose catalog entry has none
 * @param abandonedBootFactor a boot that takes so many times the expected time is abandoned
 * @param idleSeconds after which an unused machine is released
 * @param minimumAgeSeconds a machine is kept at least that long
 * @param surplusSeconds after which a machine whose tasks fit elsewhere is drained
 * @param lowPriorityWaitSeconds for which low-priority tasks wait for spot machines
 * @param maxShardMachines machines of one shard at most
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
  /** Longest stored form of one machine within its shard's record. */
  private static final int MACHINE_RECORD_BYTES = 128;

  /** The settings of a deployment. */
  public static AutoscalerSettings of(PlatformSettings platform, Tunables tunables) {
    int fittingMachines =
        platform.cluster().storeLimits().lowestMaxValueBytes() / MACHINE_RECORD_BYTES;
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
