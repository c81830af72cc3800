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
 * The links of all controllers as this one knows them: when each peer was last heard, and what each
 * says of its own links in its heartbeats.
 */
public final class PeerFailureDetector {
  /** A heartbeat older than this says nothing of now. */
  public static final Duration FRESH = Duration.ofMillis(2500);

  private record ReceivedHeartbeat(Heartbeat heartbeat, MonotonicTime at) {}

  private final EventLoop loop;
  private final NodeId self;
  private final MonotonicTime startedAt;
  private final Map<NodeId, MonotonicTime> heardAt = new HashMap<>();
  private final Map<NodeId, MonotonicTime> directAt = new HashMap<>();
  private final Map<NodeId, ReceivedHeartbeat> heartbeats =
      new TreeMap<>(Comparator.comparing(NodeId::value));

  public PeerFailureDetector(EventLoop loop, NodeId self) {
    this.loop = loop;
    this.self = self;
    this.startedAt = loop.now();
  }

  /** Anything came from the peer, by itself or by a third. */
  public void onMessage(NodeId peer, boolean direct) {
    heardAt.put(peer, loop.now());
    if (direct) {
      directAt.put(peer, loop.now());
    }
  }

  /**
   * A third that can bring a frame to a peer: none if the peer and this controller hear each other,
   * as far as each says, or if no controller hears it.
   */
  public Optional<NodeId> relayTo(NodeId peer) {
    boolean unheard = directSilence(peer).compareTo(FRESH) >= 0;
    boolean unhearing = heardBy(peer, self).filter(ago -> ago.compareTo(FRESH) >= 0).isPresent();
    if (!unheard && !unhearing) {
      return Optional.empty();
    }
    return heartbeats.keySet().stream()
        .filter(third -> !third.equals(peer) && directSilence(third).compareTo(FRESH) < 0)
        .filter(third -> heardBy(third, peer).filter(ago -> ago.compareTo(FRESH) < 0).isPresent())
        .findFirst();
  }

  private Duration directSilence(NodeId peer) {
    return loop.now().since(directAt.getOrDefault(peer, startedAt));
  }

  public void onHeartbeat(NodeId peer, Heartbeat beat) {
    heartbeats.put(peer, new ReceivedHeartbeat(beat, loop.now()));
  }

  /** What was not heard while this process stood still says nothing of the others. */
  public void onProcessPause() {
    heardAt.replaceAll((node, at) -> loop.now());
    directAt.replaceAll((node, at) -> loop.now());
  }

  /** Of a peer never heard of it is known only that it was silent since this process began. */
  public Duration silence(NodeId peer) {
    if (peer.equals(self)) {
      return Duration.ZERO;
    }
    return loop.now().since(heardAt.getOrDefault(peer, startedAt));
  }

  /** The peer's last word of itself, if it is fresh. */
  public Optional<Heartbeat> freshHeartbeat(NodeId peer) {
    return Optional.ofNullable(heartbeats.get(peer))
        .filter(known -> loop.now().since(known.at).compareTo(FRESH) < 0)
        .map(ReceivedHeartbeat::heartbeat);
  }

  /** How the sender stands to its workers, by its own word; an unknown word counts as well. */
  public static WorkerReachability.State workerReachability(Heartbeat beat) {
    return WorkerReachability.State.fromWireName(beat.getWorkers());
  }

  /** Whether the peer said lately that the state service serves it. */
  public boolean isServedByStore(NodeId peer) {
    return freshHeartbeat(peer).filter(beat -> !beat.getStoreLost()).isPresent();
  }

  /** Whether some peer, by its fresh word, had an answer of the state service after the moment. */
  public boolean anyServedSince(MonotonicTime moment) {
    for (Map.Entry<NodeId, ReceivedHeartbeat> known : heartbeats.entrySet()) {
      ReceivedHeartbeat last = known.getValue();
      MonotonicTime answered = last.at.minus(Duration.ofMillis(last.heartbeat.getStoreSilenceMs()));
      if (isServedByStore(known.getKey()) && answered.isAfter(moment)) {
        return true;
      }
    }
    return false;
  }

  /** Peers that are served, those first that hear their workers and whose word is newest. */
  public List<NodeId> peersServedByStore() {
    List<NodeId> peers = new ArrayList<>();
    heartbeats.keySet().stream().filter(this::isServedByStore).forEach(peers::add);
    peers.sort(
        Comparator.<NodeId, WorkerReachability.State>comparing(
                peer -> workerReachability(heartbeats.get(peer).heartbeat))
            .thenComparing(this::silence));
    return peers;
  }

  /** The newest leader that a served peer sees. */
  public Optional<LeaderRecord> leaderReportedByPeers() {
    return heartbeats.keySet().stream()
        .filter(this::isServedByStore)
        .map(peer -> heartbeats.get(peer).heartbeat)
        .filter(beat -> beat.getLeaderTerm() > 0)
        .max(Comparator.comparingLong(Heartbeat::getLeaderTerm))
        .map(
            beat ->
                new LeaderRecord(
                    new NodeId(beat.getLeader()),
                    new Revision(beat.getLeaderTerm()),
                    new LeaseId(0)));
  }

  /**
   * Whom this controller heard itself, for its own heartbeat: so each learns who does not hear it.
   */
  public List<PeerLastHeard> lastHeardList() {
    List<PeerLastHeard> list = new ArrayList<>();
    directAt
        .keySet()
        .forEach(p -> list.add(new PeerLastHeard(p.value(), directSilence(p).toMillis())));
    return list;
  }

  /** The peer's last word of itself, however old. */
  public Optional<Heartbeat> lastHeartbeat(NodeId peer) {
    return Optional.ofNullable(heartbeats.get(peer)).map(ReceivedHeartbeat::heartbeat);
  }

  /** How long ago a peer last heard another controller, by its fresh word; none if never. */
  public Optional<Duration> heardBy(NodeId peer, NodeId other) {
    return freshHeartbeat(peer).stream()
        .flatMap(beat -> beat.getLastHeard().stream())
        .filter(heard -> heard.getNode().equals(other.value()))
        .map(heard -> Duration.ofMillis(heard.getSilenceMs()).plus(age(peer)))
        .findFirst();
  }

  private Duration age(NodeId peer) {
    return loop.now().since(heartbeats.get(peer).at);
  }

  /** One line for the log: each peer, how long it and we were silent to each other, its links. */
  public String describe() {
    StringBuilder line = new StringBuilder();
    for (Map.Entry<NodeId, ReceivedHeartbeat> entry : heartbeats.entrySet()) {
      Heartbeat beat = entry.getValue().heartbeat;
      line.append(line.isEmpty() ? "" : "; ")
          .append(entry.getKey())
          .append(" heard ")
          .append(silence(entry.getKey()).toMillis())
          .append(" ms ago, hears us ")
          .append(
              heardBy(entry.getKey(), self).map(ago -> ago.toMillis() + " ms ago").orElse("not"))
          .append(", state service ")
          .append(beat.getStoreLost() ? "lost" : beat.getStoreSilenceMs() + " ms ago")
          .append(", workers ")
          .append(beat.getWorkers());
    }
    return line.isEmpty() ? "no peer heard" : line.toString();
  }
}
