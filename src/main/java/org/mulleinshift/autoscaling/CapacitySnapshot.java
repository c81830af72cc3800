package org.mulleinshift.autoscaling;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Resources;

/**
 * The capacity of the cluster at one moment, and the capacity that becomes available within a
 * horizon. The machine capacities are mutable: a simulation allocates tasks to them.
 */
final class CapacitySnapshot {
  private final double horizonSeconds;
  private final List<MachineCapacity> capacities = new ArrayList<>();
  private final List<CapacityRelease> releases = new ArrayList<>();
  private final Map<MachineId, MachineCapacity> byMachine = new HashMap<>();

  CapacitySnapshot(double horizonSeconds) {
    this.horizonSeconds = horizonSeconds;
  }

  /** Adds a machine of a shard; tasks may run on it. */
  void addMachine(MachineCapacity capacity) {
    capacities.add(capacity);
    byMachine.put(capacity.machine(), capacity);
  }

  /** Adds a machine that was requested and is in no shard yet. */
  void addRequested(MachineCapacity capacity) {
    capacities.add(capacity);
  }

  /** Adds capacity that becomes available later; ignored if that is beyond the horizon. */
  void addRelease(double atSeconds, MachineCapacity capacity, Resources amount) {
    if (atSeconds <= horizonSeconds) {
      releases.add(new CapacityRelease(atSeconds, capacity, amount));
    }
  }

  double horizonSeconds() {
    return horizonSeconds;
  }

  /** Returns all machines, including requested ones. */
  List<MachineCapacity> capacities() {
    return Collections.unmodifiableList(capacities);
  }

  /** Returns the capacity that becomes available within the horizon. */
  List<CapacityRelease> releases() {
    return Collections.unmodifiableList(releases);
  }

  /**
   * Returns the machines of shards by id. The map is modifiable: a consolidation trial may replace
   * capacities in it.
   */
  Map<MachineId, MachineCapacity> byMachine() {
    return byMachine;
  }

  /** Returns the number of processors of all machines, free or allocated. */
  double totalCpus() {
    return capacities.stream().mapToDouble(capacity -> capacity.size().cpus()).sum();
  }
}
