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
 * Fast failover: the leader names one controller as its standby, which takes over as soon as
 * neither it nor another controller has heard the leader for a while. Without a standby, or where
 * no other controller agrees, the leader's lease expires by itself.
 */
public final class StandbyFailover {
  private static final Logger LOG = LoggerFactory.getLogger(StandbyFailover.class);
  private static final Duration SUSPECTING_CHECK_INTERVAL = Duration.ofMillis(100);

  /** Of a standby while the leader is heard. */
  private static final Duration STANDBY_CHECK_INTERVAL = Duration.ofMillis(200);

  /** Of a controller that is not the standby. */
  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(500);

  /** False alarms before this time no longer count. */
  private static final Duration FALSE_ALARM_WINDOW = Duration.ofMinutes(3);

  /** How long the other controllers leave a free leader key to a healthy standby. */
  private static final Duration STANDBY_HEAD_START = Duration.ofMillis(600);

  /** Another controller agrees once it has not heard the leader for four fifths of the limit. */
  private static final int AGREEMENT_NUMERATOR = 4;

  private static final int AGREEMENT_DENOMINATOR = 5;

  private static final int MAX_DOUBLINGS = 10;

  /** States of this controller as the standby. */
  public enum State {
    /** Another controller is the standby, or none is. */
    NONE,
    /** This controller is the standby, and the leader is heard. */
    STANDBY,
    /** The leader has not been heard for half the limit: the other controllers are asked. */
    SUSPECTING,
    /** The leader's lease is being revoked; this controller campaigns. */
    DEPOSED
  }

  /**
   * What the failover needs of its controller.
   *
   * @param failureDetector when each peer was last heard, and its last heartbeat
   * @param view the leader as the store last showed it
   * @param healthy whether this controller reaches the store and its workers
   * @param requestHeartbeats has the peers send a heartbeat at once
   * @param depose revokes the lease of a term, and campaigns
   */
  public record Context(
      PeerFailureDetector failureDetector,
      ClusterView view,
      BooleanSupplier healthy,
      Runnable requestHeartbeats,
      Consumer<LeaderElection.TermLease> depose) {}

  private final EventLoop loop;
  private final NodeId self;
  private final Duration leaderTimeout;
  private final Duration maxLeaderTimeout;
  private final Context context;
  private State state = State.NONE;
  private Duration leaderUnheardFor = Duration.ZERO;
  private MonotonicTime lastCheckAt;
  private Duration currentInterval = SUSPECTING_CHECK_INTERVAL;
  private MonotonicTime deposedAt;
  private Optional<NodeId> deposedLeader = Optional.empty();
  private long deposedSessionLease;
  private int falseAlarms;
  private Optional<NodeId> standby = Optional.empty();
  private Optional<NodeId> lastLeader = Optional.empty();

  /**
   * A controller that is no standby yet.
   *
   * @param leaderTimeout time since the leader was last heard after which it may be deposed
   * @param maxLeaderTimeout the leader's lease, beyond which nothing is gained
   */
  public StandbyFailover(
      EventLoop loop,
      NodeId self,
      Duration leaderTimeout,
      Duration maxLeaderTimeout,
      Context context) {
    this.loop = loop;
    this.self = self;
    this.leaderTimeout = leaderTimeout;
    this.maxLeaderTimeout = maxLeaderTimeout;
    this.context = context;
    this.lastCheckAt = loop.now();
    this.deposedAt = lastCheckAt.minus(FALSE_ALARM_WINDOW);
  }

  /** Starts the periodic check. */
  public void start() {
    lastCheckAt = loop.now();
    loop.after(SUSPECTING_CHECK_INTERVAL, this::check);
  }

  /** The only place where the state changes. */
  private void transitionTo(State next, String reason) {
    if (next == State.DEPOSED || (next == State.STANDBY) != (state == State.STANDBY)) {
      LOG.info("standby state changed, from={} to={} reason={}", state, next, reason);
    }
    state = next;
  }

  /**
   * Called by the leader: the controller that it names as its standby, kept as long as that one is
   * healthy.
   *
   * @param candidates the other controllers, in order of preference
   * @return the name of the standby, empty if no controller is healthy
   */
  public String chooseStandby(List<NodeId> candidates) {
    List<NodeId> healthy = candidates.stream().filter(this::isHealthy).toList();
    if (standby.filter(healthy::contains).isEmpty()) {
      Optional<NodeId> previous = standby;
      standby = healthy.stream().findFirst();
      if (!standby.equals(previous)) {
        LOG.info("standby chosen, node={}", standby.map(NodeId::value).orElse("none"));
      }
    }
    return standby.map(NodeId::value).orElse("");
  }

  /** Whether the peer, by its fresh heartbeat, reaches the store and its workers. */
  private boolean isHealthy(NodeId peer) {
    return context.failureDetector.isServedByStore(peer)
        && context
            .failureDetector
            .freshHeartbeat(peer)
            .map(PeerFailureDetector::workerReachability)
            .filter(reachability -> reachability == WorkerReachability.State.REACHABLE)
            .isPresent();
  }

  /** The standby that this controller, as the leader, chose last. */
  public Optional<NodeId> chosenStandby() {
    return standby;
  }

  /** How long this controller leaves a free leader key to a healthy standby. */
  public Duration campaignDelay() {
    boolean anotherIsStandby =
        standbyNamedBy(lastLeader())
            .filter(name -> !name.isEmpty())
            .map(NodeId::new)
            .filter(node -> !node.equals(self) && context.failureDetector.isServedByStore(node))
            .isPresent();
    return anotherIsStandby ? STANDBY_HEAD_START : Duration.ZERO;
  }

  private Optional<NodeId> lastLeader() {
    context.view.leader().map(LeaderRecord::node).ifPresent(node -> lastLeader = Optional.of(node));
    return lastLeader;
  }

  private Optional<String> standbyNamedBy(Optional<NodeId> leader) {
    return leader.flatMap(context.failureDetector::lastHeartbeat).map(Heartbeat::getStandby);
  }

  private void check() {
    Duration gap = loop.now().since(lastCheckAt);
    lastCheckAt = loop.now();
    // A check that runs late shows nothing of the leader: its frames may be queued behind it.
    updateState(gap, gap.compareTo(currentInterval.plus(SUSPECTING_CHECK_INTERVAL)) > 0);
    currentInterval = nextInterval();
    loop.after(currentInterval, this::check);
  }

  private Duration nextInterval() {
    if (state == State.NONE) {
      return IDLE_CHECK_INTERVAL;
    }
    return leaderUnheardFor.isZero() ? STANDBY_CHECK_INTERVAL : SUSPECTING_CHECK_INTERVAL;
  }

  /**
   * @param gap time since the last check
   * @param late whether this check ran so late that received frames may wait behind it
   */
  private void updateState(Duration gap, boolean late) {
    Optional<LeaderRecord> leader = context.view.leader();
    lastLeader();
    detectFalseAlarm();
    boolean isStandby =
        leader.isPresent()
            && !leader.get().node().equals(self)
            && standbyNamedBy(leader.map(LeaderRecord::node)).equals(Optional.of(self.value()))
            && context.healthy.getAsBoolean();
    if (!isStandby) {
      leaderUnheardFor = Duration.ZERO;
      if (state != State.NONE) {
        transitionTo(
            State.NONE,
            leader.isEmpty() ? "no leader" : "not named, or own connections not healthy");
      }
      return;
    }
    if (state == State.NONE) {
      transitionTo(State.STANDBY, "named by " + leader.get().node());
    }
    boolean heard =
        context.failureDetector.timeSinceLastHeard(leader.get().node()).compareTo(gap) <= 0;
    leaderUnheardFor = heard || late ? Duration.ZERO : leaderUnheardFor.plus(gap);
    watchLeader(leader.get());
  }

  private void watchLeader(LeaderRecord leader) {
    Duration timeout = timeout();
    if (state == State.DEPOSED) {
      if (leaderUnheardFor.isZero()) {
        // The request to revoke its lease was lost.
        transitionTo(State.STANDBY, leader.node() + " still leads");
      }
      return;
    }
    if (leaderUnheardFor.compareTo(timeout.dividedBy(2)) < 0) {
      transitionTo(State.STANDBY, "leader heard");
      return;
    }
    if (state == State.STANDBY) {
      transitionTo(State.SUSPECTING, "leader not heard");
      context.requestHeartbeats.run();
      return;
    }
    if (leaderUnheardFor.compareTo(timeout) >= 0) {
      if (peersAgree(leader.node(), timeout)) {
        depose(leader);
      } else {
        context.requestHeartbeats.run();
      }
    }
  }

  /** Whether another controller has not heard the leader either, and none has heard it lately. */
  private boolean peersAgree(NodeId leader, Duration timeout) {
    Duration agreement = timeout.multipliedBy(AGREEMENT_NUMERATOR).dividedBy(AGREEMENT_DENOMINATOR);
    boolean agree = false;
    for (NodeId peer : context.failureDetector.peersServedByStore()) {
      if (peer.equals(leader)) {
        continue;
      }
      Optional<Duration> sinceHeard = context.failureDetector.timeSinceHeardBy(peer, leader);
      if (sinceHeard.filter(since -> since.compareTo(timeout.dividedBy(2)) < 0).isPresent()) {
        return false;
      }
      agree |= sinceHeard.isEmpty() || sinceHeard.get().compareTo(agreement) >= 0;
    }
    return agree;
  }

  private void depose(LeaderRecord leader) {
    transitionTo(
        State.DEPOSED,
        leader.node() + " not heard for " + leaderUnheardFor.toMillis() + " ms, another agrees");
    deposedLeader = Optional.of(leader.node());
    deposedSessionLease =
        context
            .failureDetector
            .lastHeartbeat(leader.node())
            .map(Heartbeat::getSessionLease)
            .orElse(0L);
    falseAlarms = loop.now().since(deposedAt).compareTo(FALSE_ALARM_WINDOW) > 0 ? 0 : falseAlarms;
    deposedAt = loop.now();
    context.depose.accept(new LeaderElection.TermLease(leader.term(), leader.lease()));
  }

  /** The same process is heard again: it was alive, and the next alarm takes longer. */
  private void detectFalseAlarm() {
    boolean alive =
        deposedLeader
            .filter(
                node ->
                    context
                            .failureDetector
                            .timeSinceLastHeard(node)
                            .compareTo(loop.now().since(deposedAt))
                        < 0)
            .flatMap(context.failureDetector::lastHeartbeat)
            .filter(heartbeat -> heartbeat.getSessionLease() == deposedSessionLease)
            .isPresent();
    if (alive) {
      LOG.info("deposed leader was alive, node={}", deposedLeader.get());
      falseAlarms++;
      deposedLeader = Optional.empty();
    }
  }

  /** Time since the leader was last heard after which it is deposed; doubles with false alarms. */
  private Duration timeout() {
    Duration longer = leaderTimeout.multipliedBy(1L << Math.min(falseAlarms, MAX_DOUBLINGS));
    return longer.compareTo(maxLeaderTimeout) < 0 ? longer : maxLeaderTimeout;
  }
}
