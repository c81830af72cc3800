package org.mulleinshift.membership;

import java.time.Duration;
import java.util.Optional;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's link to the state service, judged by the answers to its own calls and by what
 * peers say of theirs. A service that answers nobody is an outage, in which nothing is given up;
 * only a link that is bad while a peer's is good is lost.
 */
public final class StoreHealth implements KeyValueStore.CallObserver {
  private static final Logger LOG = LoggerFactory.getLogger(StoreHealth.class);
  private static final Duration TICK = Duration.ofMillis(100);

  /** While all is well: half as many turns of the loop. */
  private static final Duration CALM_TICK = Duration.ofMillis(200);

  /** A peer's last answer counts as later than our loss only by so much: clocks of two messages. */
  private static final Duration MARGIN = Duration.ofMillis(250);

  private static final Duration ALONE = Duration.ofSeconds(3);
  private static final Duration FIRST_TRIAL = Duration.ofMillis(500);
  private static final Duration FORGIVEN = Duration.ofMinutes(3);
  private static final int MAX_DOUBLINGS = 5;

  /** States of the link. */
  public enum State {
    SERVED,
    /** Unanswered or refused for a while: peers are asked how they fare. */
    DOUBTED,
    /** The same for longer, while a peer is served. */
    LOST
  }

  /** What the link asks and tells. */
  public interface Listener {
    /** Peers should say now how their links are. */
    void doubted();

    /** Whether some peer was served after that moment. */
    boolean peerServedSince(MonotonicTime moment);

    void changed(State next);
  }

  private final EventLoop loop;
  private final Duration lostAfter;
  private final Duration probeEvery;
  private final Runnable probe;
  private final Listener listener;
  private State state = State.SERVED;
  private int outstanding;
  private boolean failing;
  private Duration silent = Duration.ZERO;
  private MonotonicTime lastTick;
  private Duration planned = TICK;
  private MonotonicTime sentAt;
  private MonotonicTime servedAt;
  private MonotonicTime lostAt;
  private MonotonicTime wellSince;
  private MonotonicTime peerServedAt;
  private int losses;
  private Optional<MonotonicTime> aheadSince = Optional.empty();

  /**
   * @param lostAfter silence after which the link is lost if a peer is served
   * @param probeEvery a call is made at least so often
   * @param probe makes one
   */
  public StoreHealth(
      EventLoop loop, Duration lostAfter, Duration probeEvery, Runnable probe, Listener listener) {
    this.loop = loop;
    this.lostAfter = lostAfter;
    this.probeEvery = probeEvery;
    this.probe = probe;
    this.listener = listener;
    this.lastTick = loop.now();
    this.sentAt = lastTick;
    this.servedAt = lastTick;
    this.wellSince = lastTick;
    this.lostAt = lastTick.minus(FORGIVEN);
    this.peerServedAt = lastTick;
  }

  public void start() {
    lastTick = loop.now();
    loop.after(TICK, this::tick);
  }

  /** The only place where the state changes. */
  private void transitionTo(State next, String why) {
    LOG.info("state service {} -> {}: {}", state, next, why);
    state = next;
    listener.changed(next);
  }

  @Override
  public void sent() {
    outstanding++;
    sentAt = loop.now();
  }

  @Override
  public void served() {
    outstanding--;
    failing = false;
    silent = Duration.ZERO;
    servedAt = loop.now();
  }

  @Override
  public void failed(MonotonicTime calledAt) {
    outstanding--;
    // A call from before the last answer says nothing new.
    failing |= !servedAt.isAfter(calledAt);
  }

  private void tick() {
    MonotonicTime now = loop.now();
    // A turn that comes late says nothing of the link: answers may wait behind it in the queue.
    Duration gap = now.since(lastTick);
    lastTick = now;
    gap = gap.compareTo(planned.plus(TICK)) > 0 ? TICK : gap;
    silent = outstanding > 0 || failing ? silent.plus(gap) : Duration.ZERO;
    if (silent.compareTo(lostAfter.dividedBy(2)) >= 0) {
      wellSince = now;
    }
    judge(now);
    if (now.since(sentAt).compareTo(probeEvery) >= 0) {
      probe.run();
    }
    planned = state == State.SERVED && silent.isZero() ? CALM_TICK : TICK;
    loop.after(planned, this::tick);
  }

  private void judge(MonotonicTime now) {
    switch (state) {
      case SERVED -> {
        if (silent.compareTo(lostAfter.dividedBy(2)) >= 0) {
          transitionTo(State.DOUBTED, "no answer for " + silent.toMillis() + " ms");
          listener.doubted();
        }
      }
      case DOUBTED -> {
        if (silent.isZero()) {
          aheadSince = Optional.empty();
          transitionTo(State.SERVED, "answered");
          return;
        }
        watchPeers(now);
        if (silent.compareTo(lostAfter) >= 0) {
          if (aheadSince.filter(since -> now.since(since).compareTo(proven()) >= 0).isPresent()) {
            aheadSince = Optional.empty();
            lose(now);
          } else if (silent.toMillis() % 1000 < TICK.toMillis()) {
            listener.doubted();
          }
        }
      }
      case LOST -> {
        if (listener.peerServedSince(now.minus(ALONE))) {
          peerServedAt = now;
        }
        if (now.since(wellSince).compareTo(trial()) >= 0) {
          transitionTo(State.SERVED, "answered for " + trial().toMillis() + " ms");
        } else if (now.since(peerServedAt).compareTo(ALONE) > 0) {
          transitionTo(State.DOUBTED, "no peer is served either");
        }
      }
    }
  }

  /**
   * Since when peers are served and we are not. At the end of an outage the service answers some a
   * moment before others: that moment is no loss, and calls made meanwhile will tell.
   */
  private void watchPeers(MonotonicTime now) {
    MonotonicTime lossBegan = now.minus(silent);
    if (!listener.peerServedSince(lossBegan.plus(MARGIN))) {
      aheadSince = Optional.empty();
    } else {
      aheadSince = Optional.of(aheadSince.orElse(now));
      probe.run();
    }
  }

  private Duration proven() {
    return lostAfter.dividedBy(2).minus(TICK.multipliedBy(2));
  }

  private void lose(MonotonicTime now) {
    losses = now.since(lostAt).compareTo(FORGIVEN) > 0 ? 0 : Math.min(MAX_DOUBLINGS, losses + 1);
    lostAt = now;
    peerServedAt = now;
    wellSince = now;
    transitionTo(State.LOST, "no answer for " + silent.toMillis() + " ms while peers are served");
  }

  /** What comes and goes must answer for longer before it is trusted again. */
  private Duration trial() {
    return FIRST_TRIAL.multipliedBy(1L << losses);
  }

  public State state() {
    return state;
  }

  /** How long ago the service last answered. */
  public Duration silence() {
    return loop.now().since(servedAt);
  }
}
