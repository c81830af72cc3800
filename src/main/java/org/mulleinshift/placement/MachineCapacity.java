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

/**
 * The available capacity of one machine during planning; allocations of the plan reduce it. Not
 * thread-safe.
 */
public final class MachineCapacity {
  /** Stands for the shard of a machine that is not in a shard yet. */
  public static final ShardId NO_SHARD = new ShardId("-");

  /** Weight of the fraction of the whole machine that one task leaves unused. */
  private static final double SIZE_WEIGHT = 3000;

  /** Penalty for each second that it takes to fetch the image. */
  private static final double FETCH_PENALTY_PER_SECOND = 50;

  /** Limits the penalty, so that a cached image does not keep an expensive machine in use. */
  private static final double MAX_FETCH_PENALTY = 1000;

  private static final double PRICE_WEIGHT = 300;

  /** Weight of each GPU that remains available; a CPU that remains available has weight 1. */
  private static final double GPU_WEIGHT = 8;

  /** This much memory that remains available weighs as much as one CPU. */
  private static final double MEMORY_GB_PER_CPU = 16;

  private static final int EXPECTED_PLANNED_IMAGES = 4;

  private final MachineId machine;
  private final ShardId shard;
  private final ZoneId zone;
  private final MachineType type;
  private final boolean spot;
  private final Resources size;
  private final Collection<String> cachedImages;
  private Set<String> plannedImages = Set.of();
  private final double markupOverSpot;
  private Resources available;

  /**
   * A machine's capacity at the start of a plan.
   *
   * @param shard the machine's shard, or {@link #NO_SHARD}
   * @param spot whether the cloud provider may reclaim the machine
   * @param available resources that are not allocated yet
   * @param cachedImages images that the machine has or is fetching
   */
  public MachineCapacity(
      MachineId machine,
      ShardId shard,
      ZoneId zone,
      MachineType type,
      boolean spot,
      Resources available,
      Collection<String> cachedImages) {
    this.machine = machine;
    this.shard = shard;
    this.zone = zone;
    this.type = type;
    this.spot = spot;
    this.markupOverSpot = type.markupOverSpot(spot);
    this.size = type.size();
    this.available = available;
    this.cachedImages = cachedImages;
  }

  /** Whether one such task fits and is allowed on this machine. */
  boolean fits(ResourceRequest request) {
    return request.perTask().fitsInto(available) && allowedFor(request);
  }

  private boolean allowedFor(ResourceRequest request) {
    return request.allows(type.id(), spot) && request.allowsZone(zone);
  }

  /** How many such tasks fit on this machine; 0 if they are not allowed on it. */
  int countFitting(ResourceRequest request) {
    return allowedFor(request) ? request.perTask().countFittingInto(available) : 0;
  }

  /** Allocates capacity to one task. */
  public void allocate(ResourceRequest request) {
    allocate(request, 1);
  }

  /** Allocates capacity to {@code count} equal tasks. */
  public void allocate(ResourceRequest request, int count) {
    available = available.minus(count == 1 ? request.perTask() : request.perTask().times(count));
    if (!plannedImages.contains(request.image())) {
      plannedImages =
          plannedImages.isEmpty() ? new HashSet<>(EXPECTED_PLANNED_IMAGES) : plannedImages;
      plannedImages.add(request.image());
    }
  }

  /** Returns resources to the available capacity, as when a task ends. */
  public void free(Resources amount) {
    available = available.plus(amount);
  }

  /**
   * Scores how well a task fits this machine; lower is better. Small machines are preferred, to
   * keep large ones for large tasks; then machines that have the image; then cheap ones, so that
   * expensive ones become idle and are released; then those with the least remaining capacity.
   */
  double score(ResourceRequest request) {
    double score =
        PRICE_WEIGHT * markupOverSpot + SIZE_WEIGHT * (1 - request.perTask().dominantShareOf(size));
    score += size.cpus() > 0 ? (available.cpus() - request.perTask().cpus()) : 0;
    score += size.gpus() > 0 ? GPU_WEIGHT * (available.gpus() - request.perTask().gpus()) : 0;
    score +=
        size.memoryGb() > 0
            ? (available.memoryGb() - request.perTask().memoryGb()) / MEMORY_GB_PER_CPU
            : 0;
    return score + fetchPenalty(request);
  }

  private double fetchPenalty(ResourceRequest request) {
    if (cachedImages.contains(request.image()) || plannedImages.contains(request.image())) {
      return 0;
    }
    double fetchGbPerSecond = type.fetchGbPerSecond();
    return fetchGbPerSecond <= 0
        ? MAX_FETCH_PENALTY
        : Math.min(
            MAX_FETCH_PENALTY, FETCH_PENALTY_PER_SECOND * request.imageGb() / fetchGbPerSecond);
  }

  /** Grows with the cost of keeping the machine; the machine with the highest is drained first. */
  public double drainPriority() {
    return (1 + markupOverSpot) * size.cpus();
  }

  /** The id of the machine. */
  public MachineId machine() {
    return machine;
  }

  /** The machine's shard, or {@link #NO_SHARD}. */
  public ShardId shard() {
    return shard;
  }

  /** The machine's zone. */
  public ZoneId zone() {
    return zone;
  }

  /** The total resources of the machine, allocated or not. */
  public Resources size() {
    return size;
  }

  /** An independent copy for trial allocations. */
  public MachineCapacity copy() {
    MachineCapacity copy =
        new MachineCapacity(machine, shard, zone, type, spot, available, cachedImages);
    copy.plannedImages = plannedImages.isEmpty() ? plannedImages : new HashSet<>(plannedImages);
    return copy;
  }

  boolean spot() {
    return spot;
  }

  /** The id of the machine's type. */
  public MachineTypeId type() {
    return type.id();
  }

  /** The resources that are not allocated. */
  public Resources available() {
    return available;
  }
}
