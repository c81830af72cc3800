package org.mulleinshift.protocol;

import java.time.Duration;
import java.util.List;

/** A machine type of the catalog. */
public record MachineType(
    MachineTypeId id,
    Resources size,
    double cacheGb,
    double fetchGbPerSecond,
    double price,
    double spotPrice,
    Duration boot,
    List<ZoneId> zones) {
  /** By how much of the spot price such a machine costs more than a spot one. */
  public double relativePrice(boolean spot) {
    return spot || spotPrice <= 0 ? 0 : price / spotPrice - 1;
  }

  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
