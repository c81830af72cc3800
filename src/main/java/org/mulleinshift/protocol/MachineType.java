package org.mulleinshift.protocol;

import java.time.Duration;
import java.util.List;

/**
 * A machine type of the cloud's catalog.
 *
 * @param id its name
 * @param size resources of one machine
 * @param cacheGb space for images on a machine
 * @param fetchGbPerSecond rate at which a machine fetches images
 * @param price of an on-demand machine per hour
 * @param spotPrice of a spot machine per hour
 * @param boot usual time from the request until a machine is up
 * @param zones where the type is offered
 */
public record MachineType(
    MachineTypeId id,
    Resources size,
    double cacheGb,
    double fetchGbPerSecond,
    double price,
    double spotPrice,
    Duration boot,
    List<ZoneId> zones) {
  /** By what share of the spot price a machine costs more than a spot machine of this type. */
  public double relativePrice(boolean spot) {
    return spot || spotPrice <= 0 ? 0 : price / spotPrice - 1;
  }

  /** The price of a spot or on-demand machine per hour. */
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
