package org.mulleinshift.leader;

import java.util.List;
import java.util.Optional;
import org.mulleinshift.autoscaling.Autoscaler;
import org.mulleinshift.membership.PeerMessenger;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.peer.OwnerSuspicion;
import org.mulleinshift.protocol.peer.ShardStatus;
import org.mulleinshift.protocol.peer.ShardStatusAck;
import org.mulleinshift.protocol.peer.TaskStatus;
import org.mulleinshift.scheduling.ClusterState;
import org.mulleinshift.sharding.ShardView;
import org.mulleinshift.transport.MonotonicTime;

/** Applies the status messages of shard owners and acknowledges them. */
final class ShardStatusHandler {
  private final ClusterState state;
  private final Revision term;
  private final TaskStatusHandler tasks;
  private final Autoscaler autoscaler;
  private final PeerMessenger messenger;

  ShardStatusHandler(
      ClusterState state,
      Revision term,
      TaskStatusHandler tasks,
      Autoscaler autoscaler,
      PeerMessenger messenger) {
    this.state = state;
    this.term = term;
    this.tasks = tasks;
    this.autoscaler = autoscaler;
    this.messenger = messenger;
  }

  /**
   * Applies a status message; ignores it unless it was sent under the shard's current grant.
   *
   * @return whether a new status was applied that reports any machine or task
   */
  boolean onStatus(ShardStatus status) {
    ShardView shard = findShardByGrant(status.getShard(), status.getGrant()).orElse(null);
    if (shard == null) {
      return false;
    }
    MonotonicTime now = state.loop().now();
    if (status.getSeenTerm() == term.value()) {
      shard.onAssignmentAck(status.getSeenVersion(), now);
    }
    if (!shard.isContiguous(status)) {
      // A status was lost, or this leader is new: the acknowledgement makes the owner resend all
      // changes since the acknowledged status.
      acknowledge(shard);
      return false;
    }
    if (status.getSequence() <= shard.lastSequence()) {
      return false;
    }
    List<MachineId> reportedMachines = shard.onStatus(status, now);
    for (TaskStatus task : status.getTasks()) {
      tasks.onStatus(task);
    }
    reportedMachines.forEach(machine -> autoscaler.onMachineStatus(shard, machine));
    return !reportedMachines.isEmpty() || !status.getTasks().isEmpty();
  }

  /**
   * Records machines that sent heartbeats to another controller because their owner did not answer.
   */
  void onOwnerSuspicion(NodeId reporter, OwnerSuspicion suspicion) {
    MonotonicTime now = state.loop().now();
    findShardByGrant(suspicion.getShard(), suspicion.getGrant())
        .ifPresent(
            shard ->
                suspicion
                    .getMachines()
                    .forEach(machine -> shard.onSuspicion(new MachineId(machine), reporter, now)));
  }

  /** Sends the owners the acknowledgements that are due. */
  void acknowledgeAll() {
    for (ShardView shard : state.shards().all()) {
      if (shard.takeAckDue()) {
        acknowledge(shard);
      }
    }
  }

  private void acknowledge(ShardView shard) {
    shard
        .grant()
        .ifPresent(
            grant ->
                messenger.send(
                    grant.owner(),
                    new ShardStatusAck(
                        term.value(),
                        shard.id().value(),
                        grant.revision().value(),
                        shard.lastSequence())));
  }

  private Optional<ShardView> findShardByGrant(String shard, long grant) {
    return state
        .shards()
        .find(new ShardId(shard))
        .filter(
            found ->
                found.grant().filter(current -> current.revision().value() == grant).isPresent());
  }
}
