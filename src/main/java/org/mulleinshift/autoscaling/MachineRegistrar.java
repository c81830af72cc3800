package org.mulleinshift.autoscaling;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.model.ProvisioningRequest;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.scheduling.ClusterState;
import org.mulleinshift.sharding.ShardView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Adds machines to a shard of their zone, including machines that were not expected. */
final class MachineRegistrar {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRegistrar.class);

  private final ClusterState state;
  private final MachineReleaser releaser;
  private final int maxShardMachines;

  /**
   * Creates the registrar of one term.
   *
   * @param maxShardMachines maximum number of machines in one shard, whose record must stay below
   *     the store's limit for a value
   */
  MachineRegistrar(ClusterState state, MachineReleaser releaser, int maxShardMachines) {
    this.state = state;
    this.releaser = releaser;
    this.maxShardMachines = maxShardMachines;
  }

  /**
   * Registers the machines that the cloud provisioned for a request, except those that are
   * registered or deleted already.
   */
  void registerProvisioned(ProvisioningRequest request, List<MachineId> machines) {
    Set<ShardView> changed = new LinkedHashSet<>();
    for (MachineId machine : machines) {
      if (!releaser.isDeleted(machine) && !state.shards().containsMachine(machine)) {
        ShardView shard = shardWithSpace(request.zone());
        shard.machines().put(machine, new MachineRecord(request.type(), request.spot(), false));
        state.machines().addProvisioned(machine, request.plannedAt());
        changed.add(shard);
      }
    }
    changed.forEach(state.shards()::store);
  }

  /**
   * Registers a machine that was not expected, unless it is in a shard already: it was provisioned
   * late, or by a request whose response was lost.
   */
  void registerUnexpected(MachineId id, MachineTypeId type, ZoneId zone, boolean spot) {
    if (state.shards().containsMachine(id)) {
      return;
    }
    // If there is a shard that this build can't read, the machine may belong to it and have an
    // owner already.
    if (state.catalog().type(type).isEmpty() || !state.view().unreadableShards().isEmpty()) {
      return;
    }
    LOG.info("unexpected machine adopted, machine={}", id);
    ShardView shard = shardWithSpace(zone);
    shard.machines().put(id, new MachineRecord(type, spot, false));
    state.machines().getOrTrack(id);
    state.shards().store(shard);
  }

  private ShardView shardWithSpace(ZoneId zone) {
    int shardsInZone = 0;
    for (ShardView shard : state.shards().all()) {
      if (shard.zone().equals(zone)) {
        if (shard.machines().size() < maxShardMachines) {
          return shard;
        }
        shardsInZone++;
      }
    }
    return addShard(zone, shardsInZone);
  }

  private ShardView addShard(ZoneId zone, int firstNumber) {
    int number = firstNumber;
    ShardId id = shardId(zone, number);
    while (state.view().unreadableShards().contains(id)) {
      number++;
      id = shardId(zone, number);
    }
    ShardView shard = new ShardView(id, zone, state.loop().now());
    state.shards().add(shard);
    return shard;
  }

  private static ShardId shardId(ZoneId zone, int number) {
    return new ShardId(zone + "-" + number);
  }
}
