package org.mulleinshift.protocol;

import java.time.Duration;
import java.util.List;

/**
 * A machine type of the cloud's catalog.
 *
 * @param id the name of the type
 * @param size the resources of a machine
 * @param imageCacheGb size of a machine's image cache in GB
 * @param fetchGbPerSecond rate at which a machine fetches images, in GB per second
 * @param onDemandPricePerHour price of an on-demand machine per hour
 * @param spotPricePerHour price of a spot machine per hour
 * @param bootTime typical time from the provisioning request until a machine is up
 * @param zones where the type is offered
 */
public record MachineType(
    MachineTypeId id,
    Resources size,
    double imageCacheGb,
    double fetchGbPerSecond,
    double onDemandPricePerHour,
    double spotPricePerHour,
    Duration bootTime,
    List<ZoneId> zones) {
  /**
   * The extra cost of a machine over a spot machine of this type, as a fraction of the spot price.
   * 0 for a spot machine, or if the spot price is 0.
   */
  public double markupOverSpot(boolean spot) {
    return spot || spotPricePerHour <= 0 ? 0 : onDemandPricePerHour / spotPricePerHour - 1;
  }

  /** The price per hour of a spot machine, or of an on-demand machine. */
  public double price(boolean spot) {
    return spot ? spotPricePerHour : onDemandPricePerHour;
  }
}
