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
 * Failure detector for the other controllers: when each peer was last heard, and what each reports
 * of its own connections in its heartbeats.
 */
public final class PeerFailureDetector {
  /** A heartbeat older than this shows nothing of the present state of its sender. */
  public static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(2500);

  private record ReceivedHeartbeat(Heartbeat heartbeat, MonotonicTime receivedAt) {}

  private final EventLoop loop;
  private final NodeId self;
  private final MonotonicTime startedAt;
  private final Map<NodeId, MonotonicTime> lastHeardAt = new HashMap<>();
  private final Map<NodeId, MonotonicTime> lastHeardDirectlyAt = new HashMap<>();
  private final Map<NodeId, ReceivedHeartbeat> heartbeats =
      new TreeMap<>(Comparator.comparing(NodeId::value));

  /** A detector that has heard no peer yet. */
  public PeerFailureDetector(EventLoop loop, NodeId self) {
    this.loop = loop;
    this.self = self;
    this.startedAt = loop.now();
  }

  /** A message arrived from the peer itself. */
  public void onDirectMessage(NodeId peer) {
    lastHeardAt.put(peer, loop.now());
    lastHeardDirectlyAt.put(peer, loop.now());
  }

  /** A message of the peer arrived by way of another controller. */
  public void onRelayedMessage(NodeId peer) {
    lastHeardAt.put(peer, loop.now());
  }

  /**
   * A controller that can relay a frame to a peer: none if the peer and this controller receive
   * each other's messages, as far as each reports, or if no controller receives the peer's.
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

  /** A heartbeat of the peer arrived. */
  public void onHeartbeat(NodeId peer, Heartbeat heartbeat) {
    heartbeats.put(peer, new ReceivedHeartbeat(heartbeat, loop.now()));
  }

  /** What was not received while this process was paused shows nothing of the others. */
  public void onProcessPause() {
    lastHeardAt.replaceAll((node, at) -> loop.now());
    lastHeardDirectlyAt.replaceAll((node, at) -> loop.now());
  }

  /** Time since the peer was last heard; since this process started if it never was. */
  public Duration timeSinceLastHeard(NodeId peer) {
    if (peer.equals(self)) {
      return Duration.ZERO;
    }
    return loop.now().since(lastHeardAt.getOrDefault(peer, startedAt));
  }

  /** The peer's last heartbeat, if it is fresh. */
  public Optional<Heartbeat> freshHeartbeat(NodeId peer) {
    return Optional.ofNullable(heartbeats.get(peer))
        .filter(known -> loop.now().since(known.receivedAt).compareTo(HEARTBEAT_TIMEOUT) < 0)
        .map(ReceivedHeartbeat::heartbeat);
  }

  /** Whether the sender reaches its workers, by its own report; an unknown state counts as well. */
  public static WorkerReachability.State workerReachability(Heartbeat heartbeat) {
    return WorkerReachability.State.fromWireName(heartbeat.getWorkers());
  }

  /** Whether, by a fresh heartbeat, the store serves the peer. */
  public boolean isServedByStore(NodeId peer) {
    return freshHeartbeat(peer).filter(heartbeat -> !heartbeat.getStoreLost()).isPresent();
  }

  /** Whether some peer, by its fresh heartbeat, had an answer of the store after the moment. */
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

  /** Peers that the store serves; first those that reach their workers, then the last heard. */
  public List<NodeId> peersServedByStore() {
    List<NodeId> peers = new ArrayList<>();
    heartbeats.keySet().stream().filter(this::isServedByStore).forEach(peers::add);
    peers.sort(
        Comparator.<NodeId, WorkerReachability.State>comparing(
                peer -> workerReachability(heartbeats.get(peer).heartbeat))
            .thenComparing(this::timeSinceLastHeard));
    return peers;
  }

  /** The newest leader by the reports of peers that the store serves. */
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
   * When this controller last heard each peer directly, for its own heartbeat: so each learns who
   * does not receive its messages.
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

  /** When the peer's last heartbeat arrived. */
  public Optional<MonotonicTime> lastHeartbeatAt(NodeId peer) {
    return Optional.ofNullable(heartbeats.get(peer)).map(ReceivedHeartbeat::receivedAt);
  }

  /** The peer's last heartbeat, however old. */
  public Optional<Heartbeat> lastHeartbeat(NodeId peer) {
    return Optional.ofNullable(heartbeats.get(peer)).map(ReceivedHeartbeat::heartbeat);
  }

  /** Time since a peer last heard another controller, by its fresh heartbeat; empty if never. */
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

  /** One line for the log: when each peer and this controller last heard each other. */
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
