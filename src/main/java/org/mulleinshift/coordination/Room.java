package org.mulleinshift.coordination;

import java.util.Set;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Resources;

/** Free room on one machine while a plan is made. */
final class Room {
  private static final double SIZE_WEIGHT = 3000;
  private static final double IMAGE_WEIGHT = 1000;
  private static final double PRICE_WEIGHT = 300;

  private final MachineId machine;
  private final MachineTypeId type;
  private final boolean spot;
  private final Resources size;
  private final Set<String> images;
  private final double dearness;
  private Resources free;

  Room(
      MachineId machine,
      MachineTypeId type,
      boolean spot,
      double dearness,
      Resources size,
      Resources free,
      Set<String> images) {
    this.machine = machine;
    this.type = type;
    this.spot = spot;
    this.dearness = dearness;
    this.size = size;
    this.free = free;
    this.images = images;
  }

  boolean takes(PlacementNeed need) {
    return need.allows(type, spot) && need.perTask().fitsInto(free);
  }

  /** How many such tasks fit. */
  int countOf(PlacementNeed need) {
    return need.allows(type, spot) ? need.perTask().countIn(free) : 0;
  }

  void take(PlacementNeed need) {
    free = free.minus(need.perTask());
    images.add(need.image());
  }

  void give(Resources amount) {
    free = free.plus(amount);
  }

  /**
   * Lower is better: a machine of little size first, since large ones are what large tasks wait
   * for; then one that has the image; then a cheap one, so that dear ones fall idle and are
   * returned; then the one that is left fullest.
   */
  double score(PlacementNeed need) {
    double left = PRICE_WEIGHT * dearness + SIZE_WEIGHT * (1 - need.perTask().shareOf(size));
    left += size.cpus() > 0 ? (free.cpus() - need.perTask().cpus()) : 0;
    left += size.gpus() > 0 ? 8 * (free.gpus() - need.perTask().gpus()) : 0;
    left += size.memoryGb() > 0 ? (free.memoryGb() - need.perTask().memoryGb()) / 16 : 0;
    return left + (images.contains(need.image()) ? 0 : IMAGE_WEIGHT);
  }

  /** A measure for choosing what to drain first. */
  double drainWeight() {
    return (1 + dearness) * size.cpus();
  }

  MachineId machine() {
    return machine;
  }

  boolean spot() {
    return spot;
  }

  MachineTypeId type() {
    return type;
  }

  Resources free() {
    return free;
  }
}
