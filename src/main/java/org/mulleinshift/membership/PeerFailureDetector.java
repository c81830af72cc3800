package org.mulleinshift.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.mulleinshift.model.ClusterView.LeaderRecord;
import org.mulleinshift.protocol.LeaseId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.peer.Heartbeat;
import org.mulleinshift.protocol.peer.PeerLastHeard;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Failure detector for the other controllers: records when each peer was last heard, and what each
 * reports about its own connections in its heartbeats.
 */
public final class PeerFailureDetector {
  /** A heartbeat older than this says nothing about the current state of its sender. */
  public static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(2500);

  private record ReceivedHeartbeat(Heartbeat heartbeat, MonotonicTime receivedAt) {}

  private final EventLoop loop;
  private final NodeId self;
  private final MonotonicTime startedAt;
  private final Map<NodeId, MonotonicTime> lastHeardAt = new HashMap<>();
  private final Map<NodeId, MonotonicTime> lastHeardDirectlyAt = new HashMap<>();
  private final Map<NodeId, ReceivedHeartbeat> heartbeats =
      new TreeMap<>(Comparator.comparing(NodeId::value));

  /** Creates a detector that has not heard any peer yet. */
  public PeerFailureDetector(EventLoop loop, NodeId self) {
    this.loop = loop;
    this.self = self;
    this.startedAt = loop.now();
  }

  /** Called when a frame arrives directly from the peer. */
  public void onDirectMessage(NodeId peer) {
    lastHeardAt.put(peer, loop.now());
    lastHeardDirectlyAt.put(peer, loop.now());
  }

  /** Called when a frame from the peer arrives through another controller. */
  public void onRelayedMessage(NodeId peer) {
    lastHeardAt.put(peer, loop.now());
  }

  /**
   * Finds a controller that can relay a frame to the peer. Empty if this controller and the peer
   * receive each other's messages, as far as known, or if no controller heard by this one has
   * recently heard the peer.
   */
  public Optional<NodeId> findRelayTo(NodeId peer) {
    boolean notHeard = timeSinceDirectMessage(peer).compareTo(HEARTBEAT_TIMEOUT) >= 0;
    boolean notHeardByPeer =
        timeSinceHeardBy(peer, self)
            .filter(ago -> ago.compareTo(HEARTBEAT_TIMEOUT) >= 0)
            .isPresent();
    if (!notHeard && !notHeardByPeer) {
      return Optional.empty();
    }
    return heartbeats.keySet().stream()
        .filter(
            relay ->
                !relay.equals(peer)
                    && timeSinceDirectMessage(relay).compareTo(HEARTBEAT_TIMEOUT) < 0)
        .filter(
            relay ->
                timeSinceHeardBy(relay, peer)
                    .filter(ago -> ago.compareTo(HEARTBEAT_TIMEOUT) < 0)
                    .isPresent())
        .findFirst();
  }

  private Duration timeSinceDirectMessage(NodeId peer) {
    return loop.now().since(lastHeardDirectlyAt.getOrDefault(peer, startedAt));
  }

  /** Called when a heartbeat of the peer arrives. */
  public void onHeartbeat(NodeId peer, Heartbeat heartbeat) {
    heartbeats.put(peer, new ReceivedHeartbeat(heartbeat, loop.now()));
  }

  /** Called after this process was paused: not hearing peers during the pause is no evidence. */
  public void onProcessPause() {
    lastHeardAt.replaceAll((node, at) -> loop.now());
    lastHeardDirectlyAt.replaceAll((node, at) -> loop.now());
  }

  /** Time since the peer was last heard, or since this process started if it never was. */
  public Duration timeSinceLastHeard(NodeId peer) {
    if (peer.equals(self)) {
      return Duration.ZERO;
    }
    return loop.now().since(lastHeardAt.getOrDefault(peer, startedAt));
  }

  /** The peer's last heartbeat; empty if it is older than {@link #HEARTBEAT_TIMEOUT}. */
  public Optional<Heartbeat> freshHeartbeat(NodeId peer) {
    return Optional.ofNullable(heartbeats.get(peer))
        .filter(known -> loop.now().since(known.receivedAt).compareTo(HEARTBEAT_TIMEOUT) < 0)
        .map(ReceivedHeartbeat::heartbeat);
  }

  /**
   * Whether the sender reports that it reaches its workers; an unknown state counts as reachable.
   */
  public static WorkerReachability.State workerReachability(Heartbeat heartbeat) {
    return WorkerReachability.State.fromWireName(heartbeat.getWorkers());
  }

  /** Whether the peer has reported in a fresh heartbeat that it has not lost the store. */
  public boolean isServedByStore(NodeId peer) {
    return freshHeartbeat(peer).filter(heartbeat -> !heartbeat.getStoreLost()).isPresent();
  }

  /** Whether a peer's fresh heartbeat shows that the store answered it after the given time. */
  public boolean anyPeerServedSince(MonotonicTime moment) {
    for (Map.Entry<NodeId, ReceivedHeartbeat> known : heartbeats.entrySet()) {
      ReceivedHeartbeat last = known.getValue();
      MonotonicTime answered =
          last.receivedAt.minus(Duration.ofMillis(last.heartbeat.getStoreSilenceMs()));
      if (isServedByStore(known.getKey()) && answered.isAfter(moment)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Peers that the store serves, ordered by worker reachability and then by how recently they were
   * heard.
   */
  public List<NodeId> peersServedByStore() {
    List<NodeId> peers = new ArrayList<>();
    heartbeats.keySet().stream().filter(this::isServedByStore).forEach(peers::add);
    peers.sort(
        Comparator.<NodeId, WorkerReachability.State>comparing(
                peer -> workerReachability(heartbeats.get(peer).heartbeat))
            .thenComparing(this::timeSinceLastHeard));
    return peers;
  }

  /**
   * The leader of the newest term reported by peers that the store serves; its lease is unknown.
   */
  public Optional<LeaderRecord> leaderReportedByPeers() {
    return heartbeats.keySet().stream()
        .filter(this::isServedByStore)
        .map(peer -> heartbeats.get(peer).heartbeat)
        .filter(heartbeat -> heartbeat.getLeaderTerm() > 0)
        .max(Comparator.comparingLong(Heartbeat::getLeaderTerm))
        .map(
            heartbeat ->
                new LeaderRecord(
                    new NodeId(heartbeat.getLeader()),
                    new Revision(heartbeat.getLeaderTerm()),
                    new LeaseId(0)));
  }

  /**
   * When this controller last heard each peer directly. It is sent in the heartbeats, so that each
   * peer learns which controllers don't receive its messages.
   */
  public List<PeerLastHeard> peersLastHeard() {
    List<PeerLastHeard> list = new ArrayList<>();
    lastHeardDirectlyAt
        .keySet()
        .forEach(
            peer ->
                list.add(new PeerLastHeard(peer.value(), timeSinceDirectMessage(peer).toMillis())));
    return list;
  }

  /** When the peer's last heartbeat arrived; empty if none has. */
  public Optional<MonotonicTime> lastHeartbeatAt(NodeId peer) {
    return Optional.ofNullable(heartbeats.get(peer)).map(ReceivedHeartbeat::receivedAt);
  }

  /** The peer's last heartbeat of any age; empty if none has arrived. */
  public Optional<Heartbeat> lastHeartbeat(NodeId peer) {
    return Optional.ofNullable(heartbeats.get(peer)).map(ReceivedHeartbeat::heartbeat);
  }

  /**
   * Time since the peer last heard another controller, by its fresh heartbeat; empty if there is
   * none or it doesn't list that controller.
   */
  Optional<Duration> timeSinceHeardBy(NodeId peer, NodeId other) {
    return freshHeartbeat(peer).stream()
        .flatMap(heartbeat -> heartbeat.getLastHeard().stream())
        .filter(heard -> heard.getNode().equals(other.value()))
        .map(heard -> Duration.ofMillis(heard.getSilenceMs()).plus(heartbeatAge(peer)))
        .findFirst();
  }

  private Duration heartbeatAge(NodeId peer) {
    return loop.now().since(heartbeats.get(peer).receivedAt);
  }

  /**
   * Describes for the log when each peer and this controller last heard each other, and the state
   * of the peer's connections.
   */
  public String describe() {
    StringBuilder line = new StringBuilder();
    for (Map.Entry<NodeId, ReceivedHeartbeat> entry : heartbeats.entrySet()) {
      NodeId peer = entry.getKey();
      Heartbeat heartbeat = entry.getValue().heartbeat;
      line.append(line.isEmpty() ? "" : "; ")
          .append("peer=")
          .append(peer)
          .append(" heard_ms=")
          .append(timeSinceLastHeard(peer).toMillis())
          .append(" heard_by_ms=")
          .append(
              timeSinceHeardBy(peer, self)
                  .map(ago -> String.valueOf(ago.toMillis()))
                  .orElse("never"))
          .append(" store_ms=")
          .append(heartbeat.getStoreLost() ? "lost" : heartbeat.getStoreSilenceMs())
          .append(" workers=")
          .append(heartbeat.getWorkers());
    }
    return line.isEmpty() ? "no peer heard" : line.toString();
  }
}
