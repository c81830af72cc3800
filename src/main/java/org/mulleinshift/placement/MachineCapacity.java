package org.mulleinshift.placement;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.ZoneId;

/** Free room on one machine while a plan is made. */
public final class MachineCapacity {
  /** Of a machine that is in no shard yet. */
  public static final ShardId NO_SHARD = new ShardId("-");

  private static final double SIZE_WEIGHT = 3000;

  /** For each second of a fetch, and at most: a fetch is no reason to keep a dear machine up. */
  private static final double FETCH_WEIGHT = 50;

  private static final double MAX_FETCH_WEIGHT = 1000;
  private static final double PRICE_WEIGHT = 300;

  private final MachineId machine;
  private final ShardId shard;
  private final ZoneId zone;
  private final MachineType type;
  private final boolean spot;
  private final Resources size;
  private final Collection<String> cachedImages;
  private Set<String> incomingImages = Set.of();
  private final double relativePrice;
  private Resources available;

  public MachineCapacity(
      MachineId machine,
      ShardId shard,
      ZoneId zone,
      MachineType type,
      boolean spot,
      Resources free,
      Collection<String> images) {
    this.machine = machine;
    this.shard = shard;
    this.zone = zone;
    this.type = type;
    this.spot = spot;
    this.relativePrice = type.relativePrice(spot);
    this.size = type.size();
    this.available = free;
    this.cachedImages = images;
  }

  boolean fits(ResourceRequest need) {
    return need.perTask().fitsInto(available) && allowedFor(need);
  }

  private boolean allowedFor(ResourceRequest need) {
    return need.allows(type.id(), spot) && need.allowsZone(zone);
  }

  /** How many such tasks fit. */
  int countOf(ResourceRequest need) {
    return allowedFor(need) ? need.perTask().countIn(available) : 0;
  }

  public void allocate(ResourceRequest need) {
    allocate(need, 1);
  }

  public void allocate(ResourceRequest need, int count) {
    available = available.minus(count == 1 ? need.perTask() : need.perTask().times(count));
    if (!incomingImages.contains(need.image())) {
      incomingImages = incomingImages.isEmpty() ? new HashSet<>(4) : incomingImages;
      incomingImages.add(need.image());
    }
  }

  public void free(Resources amount) {
    available = available.plus(amount);
  }

  /**
   * Lower is better: a machine of little size first, since large ones are what large tasks wait
   * for; then one that has the image; then a cheap one, so that dear ones fall idle and are
   * returned; then the one that is left fullest.
   */
  double score(ResourceRequest need) {
    double left = PRICE_WEIGHT * relativePrice + SIZE_WEIGHT * (1 - need.perTask().shareOf(size));
    left += size.cpus() > 0 ? (available.cpus() - need.perTask().cpus()) : 0;
    left += size.gpus() > 0 ? 8 * (available.gpus() - need.perTask().gpus()) : 0;
    left += size.memoryGb() > 0 ? (available.memoryGb() - need.perTask().memoryGb()) / 16 : 0;
    return left + fetchWeight(need);
  }

  private double fetchWeight(ResourceRequest need) {
    if (cachedImages.contains(need.image()) || incomingImages.contains(need.image())) {
      return 0;
    }
    double rate = type.fetchGbPerSecond();
    return rate <= 0
        ? MAX_FETCH_WEIGHT
        : Math.min(MAX_FETCH_WEIGHT, FETCH_WEIGHT * need.imageGb() / rate);
  }

  /** A measure for choosing what to drain first. */
  public double drainWeight() {
    return (1 + relativePrice) * size.cpus();
  }

  public MachineId machine() {
    return machine;
  }

  public ShardId shard() {
    return shard;
  }

  public ZoneId zone() {
    return zone;
  }

  public Resources size() {
    return size;
  }

  /** The same room, to be taken from in a trial. */
  public MachineCapacity copy() {
    MachineCapacity copy =
        new MachineCapacity(machine, shard, zone, type, spot, available, cachedImages);
    copy.incomingImages = incomingImages.isEmpty() ? incomingImages : new HashSet<>(incomingImages);
    return copy;
  }

  boolean spot() {
    return spot;
  }

  public MachineTypeId type() {
    return type.id();
  }

  public Resources available() {
    return available;
  }
}
