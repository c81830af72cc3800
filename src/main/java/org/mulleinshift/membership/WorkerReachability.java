package org.mulleinshift.membership;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether this controller is reached by its workers. Told by the reports that should have come:
 * their rate, the number of machines and the jitter say how long a silence can be chance. Once in
 * doubt it is trusted again on a sign only, a report or a worker that answers; that its shards went
 * to others, and nobody is expected any more, is none.
 */
public final class WorkerReachability {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerReachability.class);
  private static final Duration TICK = Duration.ofMillis(250);
  private static final Duration PING_EVERY = Duration.ofSeconds(2);
  private static final Duration PING_DEADLINE = Duration.ofMillis(1500);

  /** Without any sign for so long it gets another try: the machines it knew may all be gone. */
  private static final Duration FORGIVEN = Duration.ofSeconds(90);

  private static final int FEW_MACHINES = 2;
  private static final int MANY_MACHINES = 20;
  private static final int PINGED = 8;

  /** So many reports that should have come and did not are no chance. */
  private static final int MISSED = 25;

  private static final Duration MIN_SILENCE = Duration.ofMillis(1500);

  /** States of the link. */
  public enum State {
    WELL("WELL"),
    /** A third of what proves it: nothing follows but that no shard is given to this node. */
    DOUBTED("DOUBTED"),
    /** Most machines have stopped reporting here. */
    MOST_SILENT("MOST_SILENT"),
    /** None reports, of so many that this is no chance. */
    ALL_SILENT("ALL_SILENT");

    private final String wireName;

    State(String wireName) {
      this.wireName = wireName;
    }

    /** How peer frames name it. */
    public String wireName() {
      return wireName;
    }

    /** The state that a peer frame names; an unknown name counts as well. */
    public static State fromWireName(String wireName) {
      for (State state : values()) {
        if (state.wireName.equals(wireName)) {
          return state;
        }
      }
      return WELL;
    }
  }

  /** What is known of the machines now. */
  public record Count(int known, int silent) {}

  /** The ways of the link: its workers, by what it counts them, and who hears of changes. */
  public record Parts(
      AsyncHttpClient workers,
      Supplier<Count> count,
      Supplier<List<InetSocketAddress>> addresses,
      Runnable onChange) {}

  private final EventLoop loop;
  private final Duration reportEvery;
  private final Parts parts;
  private State state = State.WELL;
  private Duration noReport = Duration.ZERO;
  private MonotonicTime tickedAt;
  private MonotonicTime changedAt;
  private MonotonicTime pingedAt;
  private boolean reported;
  private boolean sign;
  private int pings;
  private List<InetSocketAddress> known = List.of();

  public WorkerReachability(EventLoop loop, Duration reportEvery, Parts parts) {
    this.loop = loop;
    this.reportEvery = reportEvery;
    this.parts = parts;
    this.tickedAt = loop.now();
    this.changedAt = tickedAt;
    this.pingedAt = tickedAt;
  }

  public void start() {
    tickedAt = loop.now();
    loop.after(TICK, this::tick);
  }

  /** A worker's report came, of whatever shard. */
  public void reported() {
    reported = true;
    sign = true;
  }

  /** What could not be heard meanwhile is no silence. */
  public void stoodStill() {
    noReport = Duration.ZERO;
  }

  private void tick() {
    loop.after(TICK, this::tick);
    Duration gap = loop.now().since(tickedAt);
    tickedAt = loop.now();
    // A turn that comes late says nothing: reports may wait behind it in the queue.
    boolean late = gap.compareTo(TICK.multipliedBy(2)) > 0;
    noReport = reported || late ? Duration.ZERO : noReport.plus(gap);
    reported = false;
    State next = judge(parts.count().get());
    if (next != state) {
      transitionTo(next);
    }
    if (state != State.WELL && loop.now().since(pingedAt).compareTo(PING_EVERY) >= 0) {
      ping();
    }
  }

  private State judge(Count count) {
    Duration proof = provenAfter(count.known());
    boolean many = count.known() >= MANY_MACHINES;
    if (many && noReport.compareTo(proof) >= 0) {
      return State.ALL_SILENT;
    }
    if (count.known() >= FEW_MACHINES && 2 * count.silent() >= count.known()) {
      return state == State.ALL_SILENT ? state : State.MOST_SILENT;
    }
    if (many && noReport.multipliedBy(3).compareTo(proof) >= 0) {
      return state == State.WELL ? State.DOUBTED : state;
    }
    boolean trusted = state == State.DOUBTED || state == State.WELL || sign || forgiven();
    return trusted ? State.WELL : state;
  }

  private boolean forgiven() {
    return loop.now().since(changedAt).compareTo(FORGIVEN) >= 0;
  }

  /** So long that {@link #MISSED} reports should have come, jitter included. */
  private Duration provenAfter(int machines) {
    Duration expected = reportEvery.multipliedBy(5 * MISSED).dividedBy(4L * Math.max(1, machines));
    return expected.compareTo(MIN_SILENCE) > 0 ? expected : MIN_SILENCE;
  }

  /** The only place where the state changes. */
  private void transitionTo(State next) {
    boolean sure = next != State.DOUBTED && state != State.DOUBTED;
    if (sure || next.compareTo(State.DOUBTED) > 0) {
      LOG.info("workers {} -> {}: no report for {} ms", state, next, noReport.toMillis());
    }
    if (state == State.WELL || state == State.DOUBTED) {
      sign = false;
      known = parts.addresses().get();
    }
    state = next;
    changedAt = loop.now();
    parts.onChange().run();
  }

  /** Asks one of the machines known before, in turn, whether it can be reached. */
  private void ping() {
    pingedAt = loop.now();
    int machines = Math.min(PINGED, known.size());
    if (machines == 0) {
      return;
    }
    int step = Math.max(1, known.size() / machines);
    InetSocketAddress address = known.get((pings++ * step) % known.size());
    parts
        .workers()
        .call(
            address,
            HttpRequest.get(WorkerCodec.STATUS, PING_DEADLINE),
            reply -> sign |= reply.status() == 200);
  }

  public State state() {
    return state;
  }
}
