package org.mulleinshift.controller;

import org.mulleinshift.protocol.peer.Heartbeat;
import org.mulleinshift.protocol.peer.JobCancellation;
import org.mulleinshift.protocol.peer.JobCancellationAck;
import org.mulleinshift.protocol.peer.JobSummary;
import org.mulleinshift.protocol.peer.LeadershipTransfer;
import org.mulleinshift.protocol.peer.LearnedEstimates;
import org.mulleinshift.protocol.peer.LeaseRenewalRequest;
import org.mulleinshift.protocol.peer.LeaseRenewalResponse;
import org.mulleinshift.protocol.peer.OwnerSuspicion;
import org.mulleinshift.protocol.peer.RelayedFrame;
import org.mulleinshift.protocol.peer.ShardAssignment;
import org.mulleinshift.protocol.peer.ShardStatus;
import org.mulleinshift.protocol.peer.ShardStatusAck;
import org.mulleinshift.protocol.peer.UnknownWorkerReport;

/** Maps each type of peer message to the component that handles it. */
final class PeerMessageHandlers {
  private PeerMessageHandlers() {}

  /** Registers the handlers of all message types. */
  static void register(PeerMessageDispatcher dispatcher, ControllerComponents components) {
    registerForController(dispatcher, components);
    registerForOwner(dispatcher, components);
    registerForLeader(dispatcher, components.currentTerm());
  }

  /** Messages that every controller handles. */
  private static void registerForController(
      PeerMessageDispatcher dispatcher, ControllerComponents components) {
    dispatcher.register(Heartbeat.class, components.heartbeats()::onHeartbeat);
    dispatcher.register(
        RelayedFrame.class, (sender, frame) -> components.messenger().onRelayedFrame(frame));
    dispatcher.register(LeaseRenewalRequest.class, components.indirectRenewal()::onRequest);
    dispatcher.register(LeaseRenewalResponse.class, components.indirectRenewal()::onResponse);
    dispatcher.register(
        LeadershipTransfer.class,
        (sender, transfer) -> components.leadership().onLeadershipTransfer(transfer));
    dispatcher.register(
        LearnedEstimates.class,
        (sender, estimates) -> components.estimateReplicator().onEstimates(estimates));
    dispatcher.register(JobCancellation.class, components.cancellationAnnouncer()::onAnnouncement);
    dispatcher.register(JobCancellationAck.class, components.cancellationAnnouncer()::onAck);
    dispatcher.register(
        JobSummary.class, (sender, summary) -> components.jobApi().onSummary(summary));
  }

  /** Messages from the leader to shard owners. */
  private static void registerForOwner(
      PeerMessageDispatcher dispatcher, ControllerComponents components) {
    dispatcher.register(
        ShardAssignment.class,
        (sender, assignment) -> components.ownedShards().onAssignment(assignment));
    dispatcher.register(
        ShardStatusAck.class, (sender, ack) -> components.ownedShards().onStatusAck(ack));
  }

  /** Messages to the leader; they are ignored while this controller doesn't lead. */
  private static void registerForLeader(PeerMessageDispatcher dispatcher, CurrentTerm currentTerm) {
    dispatcher.register(
        ShardStatus.class,
        (sender, status) -> currentTerm.ifLeading(leader -> leader.onShardStatus(status)));
    dispatcher.register(
        UnknownWorkerReport.class,
        (sender, report) -> currentTerm.ifLeading(leader -> leader.onUnknownWorker(report)));
    dispatcher.register(
        OwnerSuspicion.class,
        (sender, suspicion) ->
            currentTerm.ifLeading(leader -> leader.onOwnerSuspicion(sender, suspicion)));
  }
}
