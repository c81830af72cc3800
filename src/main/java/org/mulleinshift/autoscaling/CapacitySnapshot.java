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
 * The capacity of the cluster at one moment, and what becomes available within a horizon. The
 * capacities are mutable: a simulation packs tasks into them.
 */
final class CapacitySnapshot {
  private final double horizonSeconds;
  private final List<MachineCapacity> capacities = new ArrayList<>();
  private final List<CapacityRelease> releases = new ArrayList<>();
  private final Map<MachineId, MachineCapacity> byMachine = new HashMap<>();

  CapacitySnapshot(double horizonSeconds) {
    this.horizonSeconds = horizonSeconds;
  }

  /** Adds a machine of a shard, on which tasks may run. */
  void addMachine(MachineCapacity capacity) {
    capacities.add(capacity);
    byMachine.put(capacity.machine(), capacity);
  }

  /** Adds a machine that was requested and is in no shard yet. */
  void addRequested(MachineCapacity capacity) {
    capacities.add(capacity);
  }

  /** Adds capacity that becomes available; what does so beyond the horizon is left out. */
  void addRelease(double atSeconds, MachineCapacity capacity, Resources amount) {
    if (atSeconds <= horizonSeconds) {
      releases.add(new CapacityRelease(atSeconds, capacity, amount));
    }
  }

  double horizonSeconds() {
    return horizonSeconds;
  }

  /** All machines, requested ones too. */
  List<MachineCapacity> capacities() {
    return Collections.unmodifiableList(capacities);
  }

  /** What becomes available within the horizon. */
  List<CapacityRelease> releases() {
    return Collections.unmodifiableList(releases);
  }

  /** The machines of shards, by id; a trial may replace capacities in this map. */
  Map<MachineId, MachineCapacity> byMachine() {
    return byMachine;
  }

  /** The processors of all machines, free or not. */
  double totalCpus() {
    return capacities.stream().mapToDouble(capacity -> capacity.size().cpus()).sum();
  }
}
