package org.mulleinshift.autoscaling;

import java.util.Map;
import java.util.Optional;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.model.Machine;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.peer.MachineStatus;
import org.mulleinshift.scheduling.ClusterState;
import org.mulleinshift.sharding.MachineLiveness;
import org.mulleinshift.sharding.MachinePhase;
import org.mulleinshift.sharding.ShardView;
import org.mulleinshift.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records which machines come up and which boot late, and releases those that do not come up, are
 * lost, or are quarantined.
 */
final class MachineHealthCheck {
  private static final Logger LOG = LoggerFactory.getLogger(MachineHealthCheck.class);

  private final EventLoop loop;
  private final ClusterState state;
  private final BootTimeEstimator bootTimes;
  private final BootMonitor boots;
  private final MachineReleaser releaser;

  MachineHealthCheck(
      EventLoop loop,
      ClusterState state,
      BootTimeEstimator bootTimes,
      BootMonitor boots,
      MachineReleaser releaser) {
    this.loop = loop;
    this.state = state;
    this.bootTimes = bootTimes;
    this.boots = boots;
    this.releaser = releaser;
  }

  /**
   * Called when the owner of the shard reported a new status of a machine. If the owner confirms
   * that the machine came up, stores that in the shard's record.
   */
  void onMachineStatus(ShardView shard, MachineId id) {
    MachineRecord record = shard.machines().get(id);
    if (record == null || record.up() || !isConfirmed(shard, id)) {
      return;
    }
    Machine machine = state.machines().getOrTrack(id);
    shard.machines().put(id, new MachineRecord(record.type(), record.spot(), true));
    // Only a machine whose provisioning this leader observed has a known boot time. Machines that
    // were up before, or that an earlier leader provisioned, would appear to boot in no time: then
    // the horizon and the time between resizes would vanish, and every booting machine would be
    // overdue.
    bootTimes.onUp(record.type(), machine.provisionedAt(), machine.onUp(loop.now()));
    long seconds = Math.round(machine.ageSeconds(loop.now()));
    LOG.info("machine up, machine={} after_s={}", id, seconds);
    state.shards().store(shard);
  }

  private static boolean isConfirmed(ShardView shard, MachineId id) {
    return shard
        .statusOf(id)
        .filter(status -> status.getPhase().equals(MachinePhase.CONFIRMED.wireName()))
        .isPresent();
  }

  /**
   * Checks all machines: counts delayed boots, and releases machines that are of no further use.
   */
  void run() {
    boots.reset();
    for (ShardView shard : state.shards().all()) {
      for (Map.Entry<MachineId, MachineRecord> entry : shard.machines().entrySet()) {
        inspect(shard, entry.getKey(), entry.getValue());
      }
    }
  }

  private void inspect(ShardView shard, MachineId id, MachineRecord record) {
    Machine machine = state.machines().getOrTrack(id);
    Optional<BootTimeEstimator.BootStatus> bootStatus = bootStatus(machine, record);
    if (bootStatus.equals(Optional.of(BootTimeEstimator.BootStatus.DELAYED))) {
      boots.onDelayed(record.type());
    }
    if (state.mayHaveTasks(id, shard.id())) {
      machine.markBusy(loop.now());
    }
    if (bootStatus.equals(Optional.of(BootTimeEstimator.BootStatus.ABANDONED))) {
      releaser.release(id, ReleaseReason.BOOT_ABANDONED);
    } else if (record.up() && isLost(shard, id)) {
      releaser.release(id, ReleaseReason.LOST);
    } else if (state.failures().isQuarantined(id)) {
      releaser.release(id, ReleaseReason.QUARANTINED);
    }
  }

  /** Returns the boot status of a machine, or empty if it is up or its type is unknown. */
  private Optional<BootTimeEstimator.BootStatus> bootStatus(Machine machine, MachineRecord record) {
    if (record.up()) {
      return Optional.empty();
    }
    return state
        .catalog()
        .type(record.type())
        .map(type -> bootTimes.bootStatus(type, machine.provisionedAt(), loop.now()));
  }

  private static boolean isLost(ShardView shard, MachineId id) {
    return shard
        .statusOf(id)
        .map(MachineStatus::getLiveness)
        .filter(MachineLiveness.LOST.wireName()::equals)
        .isPresent();
  }
}
