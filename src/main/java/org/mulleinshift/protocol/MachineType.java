package org.mulleinshift.protocol;

import java.time.Duration;
import java.util.List;

/**
 * A machine type of the cloud's catalog.
 *
 * @param id its name
 * @param size resources of one machine
 * @param imageCacheGb space for images on a machine
 * @param fetchGbPerSecond rate at which a machine fetches images
 * @param pricePerHour of an on-demand machine per hour
 * @param spotPricePerHour of a spot machine per hour
 * @param bootTime usual time from the request until a machine is up
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
  /** By what share of the spot price a machine costs more than a spot machine of this type. */
  public double markupOverSpot(boolean spot) {
    return spot || spotPricePerHour <= 0 ? 0 : onDemandPricePerHour / spotPricePerHour - 1;
  }

  /** The price of a spot or on-demand machine per hour. */
  public double price(boolean spot) {
    return spot ? spotPricePerHour : onDemandPricePerHour;
  }
}
