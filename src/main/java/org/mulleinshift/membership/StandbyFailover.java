package org.mulleinshift.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.model.ClusterView.LeaderRecord;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.peer.Heartbeat;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The standby: one controller, named by the leader, that takes over as soon as the leader is silent
 * to it and to another. Without one, or where nobody agrees, the leader's lease ends by itself as
 * before.
 */
public final class StandbyFailover {
  private static final Logger LOG = LoggerFactory.getLogger(StandbyFailover.class);
  private static final Duration TICK = Duration.ofMillis(100);
  private static final Duration CALM_TICK = Duration.ofMillis(200);

  /** Of a controller that is not the standby. */
  private static final Duration IDLE_TICK = Duration.ofMillis(500);

  private static final Duration FORGIVEN = Duration.ofMinutes(3);

  /** The others leave the leader's key to a standby that is well for so long. */
  private static final Duration YIELD = Duration.ofMillis(600);

  /** States of this controller as the standby. */
  public enum State {
    /** Another is the standby, or none. */
    NONE,
    STANDBY,
    /** The leader has been silent for half the time: the others are asked. */
    SUSPECTING,
    /** The leader's lease was ended; this node stands. */
    DEPOSED
  }

  /** What it needs of its node. */
  public record Parts(
      PeerFailureDetector peers,
      ClusterView view,
      BooleanSupplier ownLinksWell,
      Runnable askPeers,
      Consumer<LeaderElection.TermLease> depose) {}

  private final EventLoop loop;
  private final NodeId self;
  private final Duration patience;
  private final Duration maxPatience;
  private final Parts parts;
  private State state = State.NONE;
  private Duration silent = Duration.ZERO;
  private MonotonicTime tickedAt;
  private Duration planned = TICK;
  private MonotonicTime deposedAt;
  private Optional<NodeId> deposed = Optional.empty();
  private long deposedSession;
  private int falseAlarms;
  private Optional<NodeId> named = Optional.empty();
  private Optional<NodeId> lastLeader = Optional.empty();

  /**
   * @param patience silence of the leader after which it may be deposed
   * @param mostPatience the leader's lease, beyond which nothing is gained
   */
  public StandbyFailover(
      EventLoop loop, NodeId self, Duration patience, Duration maxPatience, Parts parts) {
    this.loop = loop;
    this.self = self;
    this.patience = patience;
    this.maxPatience = maxPatience;
    this.parts = parts;
    this.tickedAt = loop.now();
    this.deposedAt = tickedAt.minus(FORGIVEN);
  }

  public void start() {
    tickedAt = loop.now();
    loop.after(TICK, this::tick);
  }

  /** The only place where the state changes. */
  private void transitionTo(State next, String why) {
    if (next == State.DEPOSED || (next == State.STANDBY) != (state == State.STANDBY)) {
      LOG.info("standby {} -> {}: {}", state, next, why);
    }
    state = next;
  }

  /** Called by the leader: whom it names, kept as long as that one is well. */
  public String choose(List<NodeId> otherZoneFirst) {
    List<NodeId> well =
        otherZoneFirst.stream()
            .filter(parts.peers::isServedByStore)
            .filter(
                node ->
                    parts
                        .peers
                        .freshHeartbeat(node)
                        .filter(
                            beat ->
                                PeerFailureDetector.workerReachability(beat)
                                    == WorkerReachability.State.WELL)
                        .isPresent())
            .toList();
    if (named.filter(well::contains).isEmpty()) {
      named = well.stream().findFirst();
      LOG.info("standby: {}", named.map(NodeId::value).orElse("none"));
    }
    return named.map(NodeId::value).orElse("");
  }

  /** Whom this node, as the leader, named last. */
  public Optional<NodeId> named() {
    return named;
  }

  /** How long this node leaves a free leader's key to a standby that is well. */
  public Duration yields() {
    Optional<String> standby = namedBy(lastLeader()).filter(name -> !name.isEmpty());
    boolean other =
        standby
            .map(NodeId::new)
            .filter(node -> !node.equals(self) && parts.peers.isServedByStore(node))
            .isPresent();
    return other ? YIELD : Duration.ZERO;
  }

  private Optional<NodeId> lastLeader() {
    parts.view.leader().map(LeaderRecord::node).ifPresent(node -> lastLeader = Optional.of(node));
    return lastLeader;
  }

  private Optional<String> namedBy(Optional<NodeId> leader) {
    return leader.flatMap(parts.peers::lastHeartbeat).map(Heartbeat::getStandby);
  }

  private void tick() {
    Duration gap = loop.now().since(tickedAt);
    tickedAt = loop.now();
    // A turn that comes late says nothing of the leader: its frames may wait behind it.
    judge(gap, gap.compareTo(planned.plus(TICK)) > 0);
    planned = state == State.NONE ? IDLE_TICK : silent.isZero() ? CALM_TICK : TICK;
    loop.after(planned, this::tick);
  }

  private void judge(Duration gap, boolean late) {
    Optional<LeaderRecord> leader = parts.view.leader();
    lastLeader();
    noteFalseAlarm();
    boolean standby =
        leader.isPresent()
            && !leader.get().node().equals(self)
            && namedBy(leader.map(LeaderRecord::node)).equals(Optional.of(self.value()))
            && parts.ownLinksWell.getAsBoolean();
    if (!standby) {
      silent = Duration.ZERO;
      if (state != State.NONE) {
        transitionTo(
            State.NONE, leader.isEmpty() ? "no leader" : "not named, or own links not well");
      }
      return;
    }
    if (state == State.NONE) {
      transitionTo(State.STANDBY, "named by " + leader.get().node());
    }
    boolean heard = parts.peers.silence(leader.get().node()).compareTo(gap) <= 0;
    silent = heard || late ? Duration.ZERO : silent.plus(gap);
    watch(leader.get());
  }

  private void watch(LeaderRecord leader) {
    Duration limit = limit();
    if (state == State.DEPOSED) {
      if (silent.isZero()) {
        // The word that was to end its lease was lost.
        transitionTo(State.STANDBY, leader.node() + " still leads");
      }
      return;
    }
    if (silent.compareTo(limit.dividedBy(2)) < 0) {
      transitionTo(State.STANDBY, "the leader is heard");
      return;
    }
    if (state == State.STANDBY) {
      transitionTo(State.SUSPECTING, "the leader is silent");
      parts.askPeers.run();
      return;
    }
    if (silent.compareTo(limit) >= 0) {
      if (agreed(leader.node(), limit)) {
        depose(leader);
      } else {
        parts.askPeers.run();
      }
    }
  }

  /** Another controller has not heard the leader either, and none that spoke since has. */
  private boolean agreed(NodeId leader, Duration limit) {
    boolean agree = false;
    for (NodeId peer : parts.peers.peersServedByStore()) {
      if (!peer.equals(leader)) {
        Optional<Duration> ago = parts.peers.heardBy(peer, leader);
        if (ago.isPresent() && ago.get().compareTo(limit.dividedBy(2)) < 0) {
          return false;
        }
        agree |= ago.isEmpty() || ago.get().compareTo(limit.multipliedBy(4).dividedBy(5)) >= 0;
      }
    }
    return agree;
  }

  private void depose(LeaderRecord leader) {
    transitionTo(
        State.DEPOSED, leader.node() + " silent for " + silent.toMillis() + " ms, another agrees");
    deposed = Optional.of(leader.node());
    deposedSession =
        parts.peers.lastHeartbeat(leader.node()).map(Heartbeat::getSessionLease).orElse(0L);
    falseAlarms = loop.now().since(deposedAt).compareTo(FORGIVEN) > 0 ? 0 : falseAlarms;
    deposedAt = loop.now();
    parts.depose.accept(new LeaderElection.TermLease(leader.term(), leader.lease()));
  }

  /** The same process speaks again: it was alive, and the next alarm takes longer. */
  private void noteFalseAlarm() {
    boolean alive =
        deposed
            .filter(node -> parts.peers.silence(node).compareTo(loop.now().since(deposedAt)) < 0)
            .flatMap(parts.peers::lastHeartbeat)
            .filter(beat -> beat.getSessionLease() == deposedSession)
            .isPresent();
    if (alive) {
      LOG.info("{} was alive", deposed.get());
      falseAlarms++;
      deposed = Optional.empty();
    }
  }

  private Duration limit() {
    Duration longer = patience.multipliedBy(1L << Math.min(falseAlarms, 10));
    return longer.compareTo(maxPatience) < 0 ? longer : maxPatience;
  }
}
