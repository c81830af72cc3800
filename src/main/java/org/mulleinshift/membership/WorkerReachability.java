package org.mulleinshift.membership;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpStatus;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Determines whether workers reach this controller, from the heartbeats that are due: their
 * interval, its jitter and the number of machines determine how long a gap can occur by chance.
 *
 * <p>Once most or all workers are unreachable, the state recovers only on positive evidence: a
 * heartbeat, or a worker that answers a ping. That no heartbeats are due any more, because the
 * shards were granted to other controllers, is not evidence.
 */
public final class WorkerReachability {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerReachability.class);

  /** Interval between checks of the state. */
  public static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

  private static final Duration PING_INTERVAL = Duration.ofSeconds(2);
  private static final Duration PING_TIMEOUT = Duration.ofMillis(1500);

  /** The state recovers after this time even without evidence: the known machines may be gone. */
  private static final Duration SUSPICION_TIMEOUT = Duration.ofSeconds(90);

  /** Minimum number of machines for the state that most of them are unreachable. */
  private static final int MIN_MACHINES_FOR_MOST = 2;

  /** Minimum number of machines for a gap in the heartbeats of all of them to be significant. */
  private static final int MIN_MACHINES_FOR_ALL = 20;

  /** Maximum number of previously known machines that are pinged in turn. */
  private static final int MAX_PINGED_MACHINES = 8;

  /** Number of consecutive missed heartbeats that is not attributed to chance. */
  private static final int MISSED_HEARTBEATS = 25;

  /** With jitter, a heartbeat is due within five quarters of the interval. */
  private static final int JITTER_NUMERATOR = 5;

  private static final long JITTER_DENOMINATOR = 4;

  /**
   * Divides the heartbeat loss timeout: after that part of it, workers are suspected to be
   * unreachable.
   */
  private static final int SUSPICION_DIVISOR = 3;

  private static final Duration MIN_HEARTBEAT_LOSS_TIMEOUT = Duration.ofMillis(1500);

  /** States of the connection to the workers, from best to worst. */
  public enum State {
    /** Heartbeats arrive, or too few are due to detect a gap. */
    REACHABLE("WELL"),
    /** A third of the heartbeat loss timeout has passed; this controller gets no more shards. */
    SUSPECTED("DOUBTED"),
    /** The heartbeats of most machines have stopped. */
    MOST_UNREACHABLE("MOST_SILENT"),
    /** No heartbeats arrived for the whole timeout, from enough machines to rule out chance. */
    ALL_UNREACHABLE("ALL_SILENT");

    private final String wireName;

    State(String wireName) {
      this.wireName = wireName;
    }

    /** The name of the state in peer frames. */
    public String wireName() {
      return wireName;
    }

    /** The state with that name in peer frames; an unknown name counts as reachable. */
    public static State fromWireName(String wireName) {
      for (State state : values()) {
        if (state.wireName.equals(wireName)) {
          return state;
        }
      }
      return REACHABLE;
    }
  }

  /**
   * Current numbers of machines.
   *
   * @param expected machines whose heartbeats are due, in shards that this controller may act for
   * @param unreachable those of them whose heartbeats have stopped
   */
  public record MachineCounts(int expected, int unreachable) {}

  /**
   * The components and callbacks that the check uses.
   *
   * @param workers HTTP client for pings
   * @param machineCounts supplies the current numbers of machines
   * @param addresses supplies the addresses of the machines
   * @param onChange called after the state has changed
   */
  public record Context(
      AsyncHttpClient workers,
      Supplier<MachineCounts> machineCounts,
      Supplier<List<InetSocketAddress>> addresses,
      Runnable onChange) {}

  private final EventLoop loop;
  private final Duration heartbeatInterval;
  private final Context context;
  private State state = State.REACHABLE;
  private Duration heartbeatGap = Duration.ZERO;
  private MonotonicTime lastCheckAt;
  private MonotonicTime stateChangedAt;
  private MonotonicTime lastPingAt;
  private boolean heartbeatReceived;
  private boolean reachedSinceSuspected;
  private int pingCount;
  private List<InetSocketAddress> lastKnownAddresses = List.of();

  /**
   * Creates an instance whose workers count as reachable until heartbeats are missed.
   *
   * @param heartbeatInterval time between two heartbeats of a machine
   */
  public WorkerReachability(EventLoop loop, Duration heartbeatInterval, Context context) {
    this.loop = loop;
    this.heartbeatInterval = heartbeatInterval;
    this.context = context;
    this.lastCheckAt = loop.now();
    this.stateChangedAt = lastCheckAt;
    this.lastPingAt = lastCheckAt;
  }

  /** Starts the periodic check. */
  public void start() {
    lastCheckAt = loop.now();
    loop.after(CHECK_INTERVAL, this::check);
  }

  /** Called when a worker's heartbeat arrives, whichever shard its machine belongs to. */
  public void onHeartbeat() {
    heartbeatReceived = true;
    reachedSinceSuspected = true;
  }

  /** Called after this process was paused: what was not received meanwhile is not a gap. */
  public void onProcessPause() {
    heartbeatGap = Duration.ZERO;
  }

  private void check() {
    loop.after(CHECK_INTERVAL, this::check);
    Duration gap = loop.now().since(lastCheckAt);
    lastCheckAt = loop.now();
    // A late check is no evidence of a gap: heartbeats may be queued behind it.
    boolean late = gap.compareTo(CHECK_INTERVAL.multipliedBy(2)) > 0;
    heartbeatGap = heartbeatReceived || late ? Duration.ZERO : heartbeatGap.plus(gap);
    heartbeatReceived = false;
    State next = nextState(context.machineCounts().get());
    if (next != state) {
      transitionTo(next);
    }
    if (state != State.REACHABLE && loop.now().since(lastPingAt).compareTo(PING_INTERVAL) >= 0) {
      ping();
    }
  }

  private State nextState(MachineCounts counts) {
    Duration heartbeatLossTimeout = heartbeatLossTimeout(counts.expected(), heartbeatInterval);
    boolean canDetectLoss = canDetectHeartbeatLoss(counts.expected());
    if (canDetectLoss && heartbeatGap.compareTo(heartbeatLossTimeout) >= 0) {
      return State.ALL_UNREACHABLE;
    }
    if (mostUnreachable(counts)) {
      return state == State.ALL_UNREACHABLE ? state : State.MOST_UNREACHABLE;
    }
    if (canDetectLoss
        && heartbeatGap.multipliedBy(SUSPICION_DIVISOR).compareTo(heartbeatLossTimeout) >= 0) {
      return state == State.REACHABLE ? State.SUSPECTED : state;
    }
    return mayRecover() ? State.REACHABLE : state;
  }

  private static boolean mostUnreachable(MachineCounts counts) {
    return counts.expected() >= MIN_MACHINES_FOR_MOST
        && 2 * counts.unreachable() >= counts.expected();
  }

  private boolean mayRecover() {
    return state == State.SUSPECTED
        || state == State.REACHABLE
        || reachedSinceSuspected
        || loop.now().since(stateChangedAt).compareTo(SUSPICION_TIMEOUT) >= 0;
  }

  /**
   * Length of a gap in the heartbeats of all machines after which a controller with that many
   * machines detects it; empty if it has too few.
   */
  public static Optional<Duration> detectionTime(int machines, Duration heartbeatInterval) {
    return canDetectHeartbeatLoss(machines)
        ? Optional.of(heartbeatLossTimeout(machines, heartbeatInterval))
        : Optional.empty();
  }

  /** Whether a controller with that many machines detects a gap in all their heartbeats. */
  static boolean canDetectHeartbeatLoss(int machines) {
    return machines >= MIN_MACHINES_FOR_ALL;
  }

  /** Time in which {@link #MISSED_HEARTBEATS} heartbeats are due, including jitter. */
  private static Duration heartbeatLossTimeout(int machines, Duration heartbeatInterval) {
    Duration expectedTime =
        heartbeatInterval
            .multipliedBy(JITTER_NUMERATOR * MISSED_HEARTBEATS)
            .dividedBy(JITTER_DENOMINATOR * Math.max(1, machines));
    return expectedTime.compareTo(MIN_HEARTBEAT_LOSS_TIMEOUT) > 0
        ? expectedTime
        : MIN_HEARTBEAT_LOSS_TIMEOUT;
  }

  /** The only place where the state changes. */
  private void transitionTo(State next) {
    boolean conclusive = next != State.SUSPECTED && state != State.SUSPECTED;
    if (conclusive || next.compareTo(State.SUSPECTED) > 0) {
      LOG.info(
          "worker reachability changed, from={} to={} heartbeat_gap_ms={}",
          state,
          next,
          heartbeatGap.toMillis());
    }
    if (state == State.REACHABLE || state == State.SUSPECTED) {
      reachedSinceSuspected = false;
      lastKnownAddresses = context.addresses().get();
    }
    state = next;
    stateChangedAt = loop.now();
    context.onChange().run();
  }

  /** Pings one of the previously known machines, in turn. */
  private void ping() {
    lastPingAt = loop.now();
    int machines = Math.min(MAX_PINGED_MACHINES, lastKnownAddresses.size());
    if (machines == 0) {
      return;
    }
    int step = Math.max(1, lastKnownAddresses.size() / machines);
    InetSocketAddress address =
        lastKnownAddresses.get((pingCount++ * step) % lastKnownAddresses.size());
    context
        .workers()
        .call(
            address,
            HttpRequest.get(WorkerCodec.STATUS_PATH, PING_TIMEOUT),
            response -> reachedSinceSuspected |= response.status() == HttpStatus.OK);
  }

  /** The state of the connection to the workers. */
  public State state() {
    return state;
  }
}
