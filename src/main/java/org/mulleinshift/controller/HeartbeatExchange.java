package org.mulleinshift.controller;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.mulleinshift.membership.ControllerSession;
import org.mulleinshift.membership.LeaderElection;
import org.mulleinshift.membership.PeerFailureDetector;
import org.mulleinshift.membership.StandbyFailover;
import org.mulleinshift.membership.StoreHealth;
import org.mulleinshift.membership.WorkerReachability;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.LeaseId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.peer.Heartbeat;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.EventLoop;

/** Sends this controller's heartbeats to the others, and receives theirs. */
final class HeartbeatExchange {
  private static final Duration FOLLOWER_INTERVAL = Duration.ofSeconds(1);

  /** Shorter than a follower's, so that a failure of the leader is detected sooner. */
  private static final Duration LEADER_INTERVAL = Duration.ofMillis(300);

  /** When the receivers of a heartbeat should send theirs. */
  private enum RequestedReply {
    PERIODIC,
    IMMEDIATE
  }

  /**
   * The components whose state heartbeats report, and those that use received heartbeats.
   *
   * @param loop the event loop
   * @param store is called before an immediate reply to a peer, so that the reply reports whether
   *     the store answers now
   * @param members the controllers of the cluster
   * @param session this controller's session in the store
   * @param storeHealth the state of its connection to the store
   * @param reachability the state of its connection to its workers
   * @param locator finds the leader
   * @param election tells whether this controller leads
   * @param failover chooses the standby if this controller leads
   * @param failureDetector records the heartbeats of the others
   * @param leadership resigns if a heartbeat shows a newer leader
   * @param messenger sends heartbeats to the others
   */
  record Context(
      EventLoop loop,
      KeyValueStore store,
      ClusterMembers members,
      ControllerSession session,
      StoreHealth storeHealth,
      Supplier<WorkerReachability.State> reachability,
      LeaderLocator locator,
      LeaderElection election,
      StandbyFailover failover,
      PeerFailureDetector failureDetector,
      LeadershipCoordinator leadership,
      FrameMessenger messenger) {}

  private final Context context;

  /** Creates an exchange, which sends nothing until {@link #start} is called. */
  HeartbeatExchange(Context context) {
    this.context = context;
  }

  /** Sends a heartbeat now, and then periodically. */
  void start() {
    Duration interval = context.election().isLeading() ? LEADER_INTERVAL : FOLLOWER_INTERVAL;
    context.loop().after(interval, this::start);
    send();
  }

  /** Sends a heartbeat at once, because something that it reports has changed. */
  void send() {
    send(RequestedReply.PERIODIC);
  }

  /** Sends a heartbeat that asks the other controllers to send theirs at once. */
  void requestReplies() {
    send(RequestedReply.IMMEDIATE);
  }

  private void send(RequestedReply requestedReply) {
    Optional<ClusterView.LeaderRecord> leader = context.locator().confirmedByStore();
    Heartbeat heartbeat =
        new Heartbeat(
            context.session().lease().map(LeaseId::value).orElse(0L),
            context.storeHealth().timeSinceLastAnswer().toMillis(),
            context.storeHealth().state() == StoreHealth.State.LOST,
            context.reachability().get().wireName(),
            leader.map(record -> record.node().value()).orElse(""),
            leader.map(record -> record.term().value()).orElse(0L),
            chooseStandby(),
            requestedReply == RequestedReply.IMMEDIATE,
            context.failureDetector().peersLastHeard());
    context.messenger().sendToOthers(heartbeat);
  }

  private String chooseStandby() {
    return context.election().isLeading()
        ? context.failover().chooseStandby(context.members().otherZoneFirst())
        : "";
  }

  /** Handles a heartbeat of another controller. */
  void onHeartbeat(NodeId sender, Heartbeat heartbeat) {
    context.failureDetector().onHeartbeat(sender, heartbeat);
    if (heartbeat.getReplyImmediately()) {
      // The sender wants to know whether the store answers any controller right now.
      context.store().get(StoreKeys.LEADER, KeyValueStore.Urgency.URGENT, answer -> send());
    }
    context.leadership().resignIfSuperseded();
  }
}
