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
 * Fast failover: the leader names one controller as its standby, which takes over once neither it
 * nor another controller has heard the leader for a timeout. Without a standby, or if no other
 * controller agrees, failover waits until the leader's lease expires.
 */
public final class StandbyFailover {
  private static final Logger LOG = LoggerFactory.getLogger(StandbyFailover.class);

  /** Check interval of a standby that does not hear the leader. */
  private static final Duration SUSPECTING_CHECK_INTERVAL = Duration.ofMillis(100);

  /** Check interval of a standby that hears the leader. */
  private static final Duration STANDBY_CHECK_INTERVAL = Duration.ofMillis(200);

  /** Check interval of a controller that is not the standby. */
  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(500);

  /** False alarms no longer count once a leader was last deposed longer ago than this. */
  private static final Duration FALSE_ALARM_WINDOW = Duration.ofMinutes(3);

  /** How long the other controllers leave a free leader key to a healthy standby. */
  private static final Duration STANDBY_HEAD_START = Duration.ofMillis(600);

  /** Another controller agrees if it has not heard the leader for four fifths of the timeout. */
  private static final int AGREEMENT_NUMERATOR = 4;

  private static final int AGREEMENT_DENOMINATOR = 5;

  private static final int MAX_DOUBLINGS = 10;

  /** Role of this controller in failover. */
  public enum State {
    /** Not the standby, or not healthy enough to act as the standby. */
    NONE,
    /** The standby, which hears the leader. */
    STANDBY,
    /** The standby, which has not heard the leader for half the timeout and asks the peers. */
    SUSPECTING,
    /** This controller is revoking the leader's lease and campaigns. */
    DEPOSED
  }

  /**
   * The state and the actions that failover uses.
   *
   * @param failureDetector knows when each peer was last heard, and its last heartbeat
   * @param view knows the leader as last read from the store
   * @param healthy whether this controller reaches the store and its workers
   * @param requestHeartbeats asks the peers to send a heartbeat immediately
   * @param depose revokes the lease of a term and campaigns
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
   * Creates an instance that is not the standby.
   *
   * @param leaderTimeout time since the leader was last heard after which it may be deposed
   * @param maxLeaderTimeout upper bound on the timeout: the leader's lease, which then expires
   *     anyway
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
   * Called by the leader; chooses its standby, and keeps the previous one while that is healthy.
   *
   * @param candidates the other controllers, in order of preference
   * @return the name of the standby; empty if no candidate is healthy
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

  /** Whether the peer reports in a fresh heartbeat that it reaches the store and its workers. */
  private boolean isHealthy(NodeId peer) {
    return context.failureDetector.isServedByStore(peer)
        && context
            .failureDetector
            .freshHeartbeat(peer)
            .map(PeerFailureDetector::workerReachability)
            .filter(reachability -> reachability == WorkerReachability.State.REACHABLE)
            .isPresent();
  }

  /** The standby that this controller last chose as the leader; empty if none. */
  public Optional<NodeId> chosenStandby() {
    return standby;
  }

  /**
   * How long this controller leaves a free leader key to another one, which is the standby and
   * served by the store; zero if there is none.
   */
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
    // A late check is no evidence against the leader: its frames may be queued behind the check.
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
   * @param gap time since the previous check
   * @param late whether this check ran so late that received frames may be queued behind it
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
            leader.isEmpty() ? "no leader" : "not named as standby, or own connections unhealthy");
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
        // Its lease was not revoked because the request was lost.
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

  /** Whether another controller has not heard the leader either, and none has heard it recently. */
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
        leader.node()
            + " not heard for "
            + leaderUnheardFor.toMillis()
            + " ms, another controller agrees");
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

  /**
   * Counts a false alarm, which lengthens the timeout, if the process of the deposed leader has
   * been heard again.
   */
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

  /** Time without hearing the leader after which it is deposed; doubles with each false alarm. */
  private Duration timeout() {
    Duration longer = leaderTimeout.multipliedBy(1L << Math.min(falseAlarms, MAX_DOUBLINGS));
    return longer.compareTo(maxLeaderTimeout) < 0 ? longer : maxLeaderTimeout;
  }
}
