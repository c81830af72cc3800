package org.mulleinshift.autoscaling;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.model.Machine;
import org.mulleinshift.model.ProvisioningRequest;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.peer.MachineStatus;
import org.mulleinshift.scheduling.ClusterState;
import org.mulleinshift.sharding.OwnedMachine;
import org.mulleinshift.sharding.ShardView;
import org.mulleinshift.transport.EventLoop;

/**
 * Takes a snapshot of the cluster's capacity (machines that are up, booting or requested, less the
 * tasks assigned to them) and simulates the queue on it.
 */
final class CapacityPlanner {
  private final EventLoop loop;
  private final ClusterState state;
  private final Provisioner provisioner;
  private final BootTimeEstimator bootTimes;
  private final AutoscalerSettings settings;
  private final AssignedTaskAllocator taskAllocator;

  CapacityPlanner(
      EventLoop loop,
      ClusterState state,
      Provisioner provisioner,
      BootTimeEstimator bootTimes,
      AutoscalerSettings settings) {
    this.loop = loop;
    this.state = state;
    this.provisioner = provisioner;
    this.bootTimes = bootTimes;
    this.settings = settings;
    this.taskAllocator = new AssignedTaskAllocator(loop, state);
  }

  /**
   * The outcome of a simulation.
   *
   * @param result the shortage, and the machines that waiting tasks would use
   * @param clusterCpus processors of the cluster, including booting and requested machines
   */
  record Plan(QueueSimulation.Result result, double clusterCpus) {
    /** Returns the tasks that would still wait at the horizon. */
    List<PendingGroup> shortage() {
      return result.shortage();
    }

    /** Returns the number of processors that the tasks of the shortage request. */
    double shortageCpus() {
      return shortage().stream()
          .mapToDouble(group -> group.count() * group.request().perTask().cpus())
          .sum();
    }
  }

  /** Simulates the waiting tasks on the cluster's capacity over the horizon. */
  Plan plan(List<PendingGroup> waiting, double horizonSeconds) {
    CapacitySnapshot snapshot = new CapacitySnapshot(horizonSeconds);
    collectMachines(snapshot);
    collectRequested(snapshot);
    double cpus = snapshot.totalCpus();
    taskAllocator.allocate(snapshot);
    return new Plan(QueueSimulation.run(snapshot, waiting, settings.simulationSteps()), cpus);
  }

  /**
   * Returns the capacity of the machines in all shards, less the tasks that are on them or assigned
   * to a shard.
   */
  CapacitySnapshot currentCapacity() {
    CapacitySnapshot snapshot = new CapacitySnapshot(0);
    collectMachines(snapshot);
    taskAllocator.allocate(snapshot);
    return snapshot;
  }

  private void collectMachines(CapacitySnapshot snapshot) {
    for (ShardView shard : state.shards().all()) {
      shard.machines().forEach((id, record) -> collectMachine(snapshot, shard, id, record));
    }
  }

  private void collectMachine(
      CapacitySnapshot snapshot, ShardView shard, MachineId id, MachineRecord record) {
    Optional<MachineType> catalogType = state.catalog().type(record.type());
    Optional<MachineStatus> status = shard.statusOf(id);
    if (catalogType.isEmpty()
        || state.machines().isCordoned(id)
        || status.filter(OwnedMachine::hasUnreadableTasks).isPresent()
        || status.filter(MachineStatus::getInterrupted).isPresent()) {
      return;
    }
    MachineType type = catalogType.get();
    Machine machine = state.machines().getOrTrack(id);
    if (!record.up() && isOverdue(type, machine)) {
      // It may never come up, so it does not count as capacity.
      return;
    }
    Resources available = record.up() ? type.size() : Resources.ZERO;
    MachineCapacity capacity =
        new MachineCapacity(id, shard.id(), shard.zone(), type, record.spot(), available, Set.of());
    snapshot.addMachine(capacity);
    if (!record.up()) {
      // Capped at the horizon even if the type boots more slowly: if a booting machine did not
      // count as capacity, each resize would provision it again.
      double remainingSeconds = bootTimes.expectedSeconds(type) - machine.ageSeconds(loop.now());
      double upInSeconds = Math.min(snapshot.horizonSeconds(), Math.max(0, remainingSeconds));
      snapshot.addRelease(upInSeconds, capacity, type.size());
    }
  }

  private boolean isOverdue(MachineType type, Machine machine) {
    BootTimeEstimator.BootStatus bootStatus =
        bootTimes.bootStatus(type, machine.provisionedAt(), loop.now());
    return bootStatus == BootTimeEstimator.BootStatus.OVERDUE
        || bootStatus == BootTimeEstimator.BootStatus.ABANDONED;
  }

  private void collectRequested(CapacitySnapshot snapshot) {
    for (ProvisioningRequest request : provisioner.expectedRequests()) {
      state
          .catalog()
          .type(request.type())
          .ifPresent(type -> collectRequest(snapshot, request, type));
    }
  }

  private static void collectRequest(
      CapacitySnapshot snapshot, ProvisioningRequest request, MachineType type) {
    for (int i = 0; i < request.count(); i++) {
      MachineCapacity capacity =
          new MachineCapacity(
              new MachineId(request.name() + "#" + i),
              MachineCapacity.NO_SHARD,
              request.zone(),
              type,
              request.spot(),
              Resources.ZERO,
              Set.of());
      snapshot.addRequested(capacity);
      snapshot.addRelease(snapshot.horizonSeconds(), capacity, type.size());
    }
  }
}
