package org.mulleinshift.membership;

import java.time.Duration;
import java.util.Optional;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Health of this controller's connection to the store, judged by the responses to its own calls and
 * by what peers report of theirs. A store that answers nobody is an outage, in which nothing is
 * released; only a connection that fails while a peer's works is lost.
 */
public final class StoreHealth implements KeyValueStore.CallObserver {
  private static final Logger LOG = LoggerFactory.getLogger(StoreHealth.class);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /** Interval while all is well: half as many turns of the loop. */
  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(200);

  /**
   * A peer's last answer counts as later than the start of the failure only beyond this margin: its
   * age went through two messages.
   */
  private static final Duration PEER_ANSWER_MARGIN = Duration.ofMillis(250);

  /** Without a served peer for longer than this, the store may be down for everybody. */
  private static final Duration PEER_TIMEOUT = Duration.ofSeconds(3);

  /** While the connection fails, peers are asked about theirs once in this time. */
  private static final Duration PEER_QUERY_INTERVAL = Duration.ofSeconds(1);

  private static final Duration FIRST_PROBATION = Duration.ofMillis(500);

  /** A loss after this time counts as the first one again. */
  private static final Duration LOSS_WINDOW = Duration.ofMinutes(3);

  private static final int MAX_DOUBLINGS = 5;

  /** States of the connection. */
  public enum State {
    /** Calls are answered. */
    CONNECTED,
    /**
     * Calls have been unanswered or refused for a while: peers are asked about their connections.
     */
    SUSPECTED,
    /** The same for longer, while a peer is served. */
    LOST
  }

  /** Connects the health check with the peers and with those who act on its result. */
  public interface Listener {
    /** The connection is suspect: peers should report now how theirs are. */
    void onSuspected();

    /** Whether some peer was served after that moment. */
    boolean anyPeerServedSince(MonotonicTime moment);

    /** The state has changed. */
    void onStateChanged(State next);
  }

  private final EventLoop loop;
  private final Duration lostAfter;
  private final Duration probeInterval;
  private final Runnable probe;
  private final Listener listener;
  private State state = State.CONNECTED;
  private int outstandingCalls;
  private boolean failing;
  private Duration failingFor = Duration.ZERO;
  private MonotonicTime lastCheckAt;
  private Duration currentInterval = CHECK_INTERVAL;
  private MonotonicTime lastCallAt;
  private MonotonicTime lastAnswerAt;
  private MonotonicTime lastLossAt;
  private MonotonicTime servedSince;
  private MonotonicTime lastPeerServedAt;
  private int repeatedLosses;
  private Optional<MonotonicTime> onlyPeersServedSince = Optional.empty();

  /**
   * A connection that counts as good until calls fail.
   *
   * @param lostAfter time without an answer after which the connection is lost if a peer is served
   * @param probeInterval a call is made at least this often
   * @param probe makes such a call
   */
  public StoreHealth(
      EventLoop loop,
      Duration lostAfter,
      Duration probeInterval,
      Runnable probe,
      Listener listener) {
    this.loop = loop;
    this.lostAfter = lostAfter;
    this.probeInterval = probeInterval;
    this.probe = probe;
    this.listener = listener;
    this.lastCheckAt = loop.now();
    this.lastCallAt = lastCheckAt;
    this.lastAnswerAt = lastCheckAt;
    this.servedSince = lastCheckAt;
    this.lastLossAt = lastCheckAt.minus(LOSS_WINDOW);
    this.lastPeerServedAt = lastCheckAt;
  }

  /** Starts the periodic check. */
  public void start() {
    lastCheckAt = loop.now();
    loop.after(CHECK_INTERVAL, this::check);
  }

  /** The only place where the state changes. */
  private void transitionTo(State next, String reason) {
    LOG.info("store health changed, from={} to={} reason={}", state, next, reason);
    state = next;
    listener.onStateChanged(next);
  }

  @Override
  public void sent() {
    outstandingCalls++;
    lastCallAt = loop.now();
  }

  @Override
  public void served() {
    outstandingCalls--;
    failing = false;
    failingFor = Duration.ZERO;
    lastAnswerAt = loop.now();
  }

  @Override
  public void failed(MonotonicTime sentAt) {
    outstandingCalls--;
    // A call from before the last answer shows nothing new.
    failing |= !lastAnswerAt.isAfter(sentAt);
  }

  private void check() {
    MonotonicTime now = loop.now();
    // A check that runs late shows nothing of the connection: answers may be queued behind it.
    Duration gap = now.since(lastCheckAt);
    lastCheckAt = now;
    gap = gap.compareTo(currentInterval.plus(CHECK_INTERVAL)) > 0 ? CHECK_INTERVAL : gap;
    failingFor = outstandingCalls > 0 || failing ? failingFor.plus(gap) : Duration.ZERO;
    if (failingFor.compareTo(lostAfter.dividedBy(2)) >= 0) {
      servedSince = now;
    }
    updateState(now);
    if (now.since(lastCallAt).compareTo(probeInterval) >= 0) {
      probe.run();
    }
    currentInterval =
        state == State.CONNECTED && failingFor.isZero() ? IDLE_CHECK_INTERVAL : CHECK_INTERVAL;
    loop.after(currentInterval, this::check);
  }

  private void updateState(MonotonicTime now) {
    switch (state) {
      case CONNECTED -> checkConnected();
      case SUSPECTED -> checkSuspected(now);
      case LOST -> checkLost(now);
    }
  }

  private void checkConnected() {
    if (failingFor.compareTo(lostAfter.dividedBy(2)) >= 0) {
      transitionTo(State.SUSPECTED, "no answer for " + failingFor.toMillis() + " ms");
      listener.onSuspected();
    }
  }

  private void checkSuspected(MonotonicTime now) {
    if (failingFor.isZero()) {
      onlyPeersServedSince = Optional.empty();
      transitionTo(State.CONNECTED, "answered");
      return;
    }
    compareWithPeers(now);
    if (failingFor.compareTo(lostAfter) < 0) {
      return;
    }
    boolean confirmed =
        onlyPeersServedSince
            .filter(since -> now.since(since).compareTo(confirmationTime()) >= 0)
            .isPresent();
    if (confirmed) {
      onlyPeersServedSince = Optional.empty();
      onLost(now);
    } else if (failingFor.toMillis() % PEER_QUERY_INTERVAL.toMillis() < CHECK_INTERVAL.toMillis()) {
      listener.onSuspected();
    }
  }

  private void checkLost(MonotonicTime now) {
    if (listener.anyPeerServedSince(now.minus(PEER_TIMEOUT))) {
      lastPeerServedAt = now;
    }
    if (now.since(servedSince).compareTo(probation()) >= 0) {
      transitionTo(State.CONNECTED, "answered for " + probation().toMillis() + " ms");
    } else if (now.since(lastPeerServedAt).compareTo(PEER_TIMEOUT) > 0) {
      transitionTo(State.SUSPECTED, "no peer is served either");
    }
  }

  /**
   * Records since when peers are served and this controller is not. At the end of an outage the
   * store answers some controllers a moment before others: that is no loss, and calls made
   * meanwhile will show it.
   */
  private void compareWithPeers(MonotonicTime now) {
    MonotonicTime failingSince = now.minus(failingFor);
    if (!listener.anyPeerServedSince(failingSince.plus(PEER_ANSWER_MARGIN))) {
      onlyPeersServedSince = Optional.empty();
    } else {
      onlyPeersServedSince = Optional.of(onlyPeersServedSince.orElse(now));
      probe.run();
    }
  }

  /** How long peers must have been served while this controller was not. */
  private Duration confirmationTime() {
    return lostAfter.dividedBy(2).minus(CHECK_INTERVAL.multipliedBy(2));
  }

  private void onLost(MonotonicTime now) {
    repeatedLosses =
        now.since(lastLossAt).compareTo(LOSS_WINDOW) > 0
            ? 0
            : Math.min(MAX_DOUBLINGS, repeatedLosses + 1);
    lastLossAt = now;
    lastPeerServedAt = now;
    servedSince = now;
    transitionTo(
        State.LOST, "no answer for " + failingFor.toMillis() + " ms while peers are served");
  }

  /** How long calls must be answered after a loss; doubles with each loss shortly after another. */
  private Duration probation() {
    return FIRST_PROBATION.multipliedBy(1L << repeatedLosses);
  }

  /** The state of the connection. */
  public State state() {
    return state;
  }

  /** Time since the store last answered. */
  public Duration timeSinceLastAnswer() {
    return loop.now().since(lastAnswerAt);
  }
}
