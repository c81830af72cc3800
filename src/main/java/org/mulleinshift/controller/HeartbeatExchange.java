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

  /** A leader's failure has to be detected sooner than a follower's. */
  private static final Duration LEADER_INTERVAL = Duration.ofMillis(300);

  /** Whether the receivers of a heartbeat are to answer it. */
  private enum RequestedReply {
    PERIODIC,
    IMMEDIATE
  }

  /**
   * What heartbeats report and change.
   *
   * @param loop the event loop
   * @param store asked for its state where a peer requests an immediate reply
   * @param members the controllers of the cluster
   * @param session this controller's session in the store
   * @param storeHealth its connection to the store
   * @param reachability whether it reaches its workers
   * @param locator who leads
   * @param election whether this controller leads
   * @param failover which standby a leader names
   * @param failureDetector heartbeats of the others
   * @param leadership may end by a heartbeat
   * @param messenger sends to the others
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

  /** An exchange that sends nothing until it starts. */
  HeartbeatExchange(Context context) {
    this.context = context;
  }

  /** Sends now and then periodically. */
  void start() {
    Duration interval = context.election().isLeading() ? LEADER_INTERVAL : FOLLOWER_INTERVAL;
    context.loop().after(interval, this::start);
    send();
  }

  /** Sends a heartbeat out of turn: something that it reports has changed. */
  void send() {
    send(RequestedReply.PERIODIC);
  }

  /** Sends a heartbeat that asks the others for theirs at once. */
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
            context.failureDetector().lastHeardList());
    context.messenger().sendToOthers(heartbeat);
  }

  private String chooseStandby() {
    return context.election().isLeading()
        ? context.failover().chooseStandby(context.members().otherZoneFirst())
        : "";
  }

  /** Receives a heartbeat of another controller. */
  void onHeartbeat(NodeId sender, Heartbeat heartbeat) {
    context.failureDetector().onHeartbeat(sender, heartbeat);
    if (heartbeat.getReplyImmediately()) {
      // What the sender asks is whether the store answers anybody just now.
      context.store().get(StoreKeys.LEADER, KeyValueStore.Urgency.URGENT, answer -> send());
    }
    context.leadership().resignIfSuperseded();
  }
}
