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

/** Releases machines: marks them, and deletes them in the cloud in batches. */
final class MachineReleaser {
  private static final Logger LOG = LoggerFactory.getLogger(MachineReleaser.class);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final int MAX_REMEMBERED_DELETIONS = 5000;

  private final ClusterState state;
  private final LeadershipTerm term;
  private final TransactionBatcher batcher;
  private final CloudClient cloud;
  private final Set<MachineId> pendingDeletion = new LinkedHashSet<>();
  private final Set<MachineId> deleted = BoundedMap.set(MAX_REMEMBERED_DELETIONS);
  private boolean deletionInFlight;

  MachineReleaser(
      ClusterState state, LeadershipTerm term, TransactionBatcher batcher, CloudClient cloud) {
    this.state = state;
    this.term = term;
    this.batcher = batcher;
    this.cloud = cloud;
  }

  /**
   * Marks the machine so that it takes no new task, and queues it for deletion. Does nothing if it
   * is being released already.
   */
  void release(MachineId machine, ReleaseReason reason) {
    if (state.machines().getOrTrack(machine).release()) {
      pendingDeletion.add(machine);
      LOG.info("machine released, machine={} reason={}", machine, reason);
      state.shards().markChanged(machine);
    }
  }

  /** Returns whether this leader released the machine, deleted or not. */
  boolean isReleased(MachineId machine) {
    return deleted.contains(machine) || pendingDeletion.contains(machine);
  }

  /** Returns whether the cloud has confirmed that the machine is deleted. */
  boolean isDeleted(MachineId machine) {
    return deleted.contains(machine);
  }

  /**
   * Deletes a batch of the released machines, if no deletion is in flight and the rate limit
   * permits a call.
   */
  void deleteBatch() {
    if (pendingDeletion.isEmpty() || deletionInFlight || !cloud.limiter().tryAcquire(1, 0)) {
      return;
    }
    List<MachineId> batch =
        pendingDeletion.stream().limit(CloudCodec.MAX_MACHINES_PER_DELETION).toList();
    deletionInFlight = true;
    // The state of a leader that was replaced is stale: a machine that it drained may have tasks by
    // now.
    batcher.confirmLeadership(() -> delete(batch), () -> deletionInFlight = false);
  }

  private void delete(List<MachineId> batch) {
    cloud.send(
        HttpRequest.post(
            CloudCodec.DELETE_PATH, CloudCodec.writeDeletionRequest(batch), REQUEST_TIMEOUT),
        response -> {
          deletionInFlight = false;
          // Only status 200 confirms that the machines and all tasks on them are gone.
          if (response.isOk() && term.isActive()) {
            onDeleted(batch);
          }
        });
  }

  private void onDeleted(List<MachineId> machines) {
    machines.forEach(pendingDeletion::remove);
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
