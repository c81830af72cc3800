package org.mulleinshift.membership;

import java.time.Duration;
import java.util.Optional;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Health of this controller's connection to the store, determined from the responses to its calls
 * and from what peers report about their connections. If the store answers no controller, that is
 * an outage, during which nothing is released. A connection is lost only if it fails while a peer's
 * connection works.
 */
public final class StoreHealth implements KeyValueStore.CallObserver {
  private static final Logger LOG = LoggerFactory.getLogger(StoreHealth.class);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /** Check interval while calls are answered, which halves the number of event loop steps. */
  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(200);

  /**
   * A peer's last answer counts as later than the start of the failure only if it is later by this
   * margin. The time of that answer is inexact, since its age went through two messages.
   */
  private static final Duration PEER_ANSWER_MARGIN = Duration.ofMillis(250);

  /** If no peer has been served for longer than this, the store may be down for all. */
  private static final Duration PEER_TIMEOUT = Duration.ofSeconds(3);

  /** Interval at which peers are asked about their connections while this one fails. */
  private static final Duration PEER_QUERY_INTERVAL = Duration.ofSeconds(1);

  private static final Duration FIRST_PROBATION = Duration.ofMillis(500);

  /** A loss that occurs later than this after the previous one counts as the first again. */
  private static final Duration LOSS_WINDOW = Duration.ofMinutes(3);

  private static final int MAX_DOUBLINGS = 5;

  /** States of the connection. */
  public enum State {
    /** Calls are answered. */
    CONNECTED,
    /**
     * Calls have been unanswered or refused for half the loss timeout: peers are asked about their
     * connections.
     */
    SUSPECTED,
    /** Calls have failed for the whole loss timeout while a peer was served. */
    LOST
  }

  /** Knows the state of the peers' connections, and is notified of changes of this one. */
  public interface Listener {
    /** Called when the connection seems to fail: peers should report on theirs immediately. */
    void onSuspected();

    /** Whether the store answered any peer after the given time. */
    boolean anyPeerServedSince(MonotonicTime moment);

    /** Called after the state has changed. */
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
   * Creates an instance whose connection counts as healthy until calls fail.
   *
   * @param lostAfter loss timeout: time without an answer after which the connection is lost if a
   *     peer is served
   * @param probeInterval time without a call after which a probe is sent
   * @param probe makes a call to the store
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
    // If the store has answered since the call was sent, its failure shows nothing new.
    failing |= !lastAnswerAt.isAfter(sentAt);
  }

  private void check() {
    MonotonicTime now = loop.now();
    // A late check counts as one interval only, since answers may be queued behind it.
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
   * Records since when peers have been served while this controller has not. At the end of an
   * outage the store answers some controllers slightly earlier than others; this is not a loss, as
   * the probes sent in the meantime will show.
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

  /** How long only peers must have been served before the connection counts as lost. */
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

  /** How long calls must be answered after a loss; doubles with each repeated loss. */
  private Duration probation() {
    return FIRST_PROBATION.multipliedBy(1L << repeatedLosses);
  }

  /** The state of the connection. */
  public State state() {
    return state;
  }

  /** Time since the store last answered a call of this controller. */
  public Duration timeSinceLastAnswer() {
    return loop.now().since(lastAnswerAt);
  }
}
