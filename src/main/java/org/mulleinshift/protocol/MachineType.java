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
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
