package org.mulleinshift.autoscaling;

import java.util.Map;
import java.util.Set;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.model.Machine;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.scheduling.ClusterState;
import org.mulleinshift.sharding.ShardView;
import org.mulleinshift.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Releases idle machines, and uncordons draining machines whose types are in demand. */
final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

  private final EventLoop loop;
  private final ClusterState state;
  private final MachineReleaser releaser;
  private final BootMonitor boots;
  private final AutoscalerSettings settings;

  ScaleIn(
      EventLoop loop,
      ClusterState state,
      MachineReleaser releaser,
      BootMonitor boots,
      AutoscalerSettings settings) {
    this.loop = loop;
    this.state = state;
    this.releaser = releaser;
    this.boots = boots;
    this.settings = settings;
  }

  /**
   * Releases machines without tasks that have reached the minimum age and are either draining, or
   * idle for long enough and of no use to the queue.
   *
   * @param usedMachines machines that the simulation packed waiting tasks onto
   */
  void releaseIdle(Set<MachineId> usedMachines) {
    for (ShardView shard : state.shards().all()) {
      for (Map.Entry<MachineId, MachineRecord> entry : shard.machines().entrySet()) {
        MachineId id = entry.getKey();
        Machine machine = state.machines().getOrTrack(id);
        if (isReleasable(machine, entry.getValue())
            && isUnused(machine, usedMachines.contains(id))
            && !state.mayHaveTasks(id, shard.id())) {
          releaser.release(id, ReleaseReason.IDLE);
        }
      }
    }
  }

  /** Returns whether the machine may be released if no task uses it. */
  private boolean isReleasable(Machine machine, MachineRecord record) {
    return record.up()
        && !boots.isDelayed(record.type())
        && machine.state() != Machine.State.RELEASING
        && machine.ageSeconds(loop.now()) >= settings.minimumAgeSeconds();
  }

  private boolean isUnused(Machine machine, boolean usedByQueue) {
    return machine.state() == Machine.State.DRAINING
        || (!usedByQueue && machine.idleSeconds(loop.now()) >= settings.idleSeconds());
  }

  /** Lets draining machines of the types in demand take tasks again. */
  void uncordon(Set<MachineTypeId> typesInDemand) {
    for (ShardView shard : state.shards().all()) {
      for (Map.Entry<MachineId, MachineRecord> entry : shard.machines().entrySet()) {
        if (typesInDemand.contains(entry.getValue().type())) {
          uncordon(shard, entry.getKey());
        }
      }
    }
  }

  private void uncordon(ShardView shard, MachineId id) {
    Machine machine = state.machines().getOrTrack(id);
    machine.clearSurplus();
    if (machine.state() == Machine.State.DRAINING) {
      LOG.info("machine uncordoned, machine={}", id);
      machine.uncordon();
      state.shards().markChanged(shard.id());
    }
  }
}
