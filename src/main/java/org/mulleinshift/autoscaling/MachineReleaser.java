package org.mulleinshift.autoscaling;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.mulleinshift.membership.LeadershipTerm;
import org.mulleinshift.memory.BoundedMap;
import org.mulleinshift.protocol.CloudCodec;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.scheduling.ClusterState;
import org.mulleinshift.sharding.ShardView;
import org.mulleinshift.store.TransactionBatcher;
import org.mulleinshift.transport.HttpRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Releases machines: marks them, and deletes them in the cloud a batch at a time. */
final class MachineReleaser {
  private static final Logger LOG = LoggerFactory.getLogger(MachineReleaser.class);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final int MAX_DELETED_REMEMBERED = 5000;

  private final ClusterState state;
  private final LeadershipTerm term;
  private final TransactionBatcher batcher;
  private final CloudClient cloud;
  private final Set<MachineId> deleting = new LinkedHashSet<>();
  private final Set<MachineId> deleted = BoundedMap.set(MAX_DELETED_REMEMBERED);
  private boolean inFlight;

  MachineReleaser(
      ClusterState state, LeadershipTerm term, TransactionBatcher batcher, CloudClient cloud) {
    this.state = state;
    this.term = term;
    this.batcher = batcher;
    this.cloud = cloud;
  }

  /** The machine takes no new task from now on, and is deleted with the next batch. */
  void release(MachineId machine, ReleaseReason reason) {
    if (state.machines().getOrTrack(machine).release()) {
      deleting.add(machine);
      LOG.info("machine released, machine={} reason={}", machine, reason);
      state.shards().markChanged(machine);
    }
  }

  /** Whether this leader released the machine, deleted or not. */
  boolean isReleased(MachineId machine) {
    return deleted.contains(machine) || deleting.contains(machine);
  }

  /** Whether the cloud has confirmed that the machine is gone. */
  boolean isDeleted(MachineId machine) {
    return deleted.contains(machine);
  }

  /** Deletes a batch of the released machines, if the rate limit permits a call. */
  void deleteBatch() {
    if (deleting.isEmpty() || inFlight || !cloud.limiter().tryAcquire(1, 0)) {
      return;
    }
    List<MachineId> batch = deleting.stream().limit(CloudCodec.MAX_MACHINES_PER_DELETION).toList();
    inFlight = true;
    // The state of a leader that was replaced is stale: a machine that it drained may have tasks
    // by now.
    batcher.ifStillLeader(() -> delete(batch), () -> inFlight = false);
  }

  private void delete(List<MachineId> batch) {
    cloud.call(
        HttpRequest.post(
            CloudCodec.DELETE_PATH, CloudCodec.writeDeletionRequest(batch), REQUEST_TIMEOUT),
        response -> {
          inFlight = false;
          // Only a 200 confirms that the machines and all on them are gone.
          if (response.isOk() && term.isActive()) {
            onDeleted(batch);
          }
        });
  }

  private void onDeleted(List<MachineId> machines) {
    machines.forEach(deleting::remove);
    deleted.addAll(machines);
    state.machines().removeAll(machines);
    state.failures().onMachinesDeleted(machines);
    for (ShardView shard : state.shards().all()) {
      if (shard.machines().keySet().removeAll(machines)) {
        state.shards().store(shard);
      }
    }
  }
}
