package org.mulleinshift.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.LeaseId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.Guard;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.Answer;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Who takes the leader's key leads; each of the leader's writes demands that it still has it. */
public final class LeaderElection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

  /** So long the others leave it to the one that was asked to lead. */
  private static final Duration GIVEN_TO_CHOSEN = Duration.ofMillis(600);

  /** States of a node in the election. */
  public enum State {
    FOLLOWING,
    STANDING,
    LEADING
  }

  /** Hears of the start and the end of a term of this node. */
  public interface Listener {
    void won(Revision term);

    void lost();
  }

  private final EventLoop loop;
  private final KeyValueStore store;
  private final NodeId self;
  private final Duration ttl;
  private final Listener listener;
  private final Supplier<Duration> yields;
  private State state = State.FOLLOWING;
  private Optional<LeaseId> hold = Optional.empty();
  private Revision term = new Revision(0);
  private MonotonicTime renewedAt;
  private MonotonicTime notBefore;
  private boolean chosen;

  /**
   * @param yields how long a free key is left to another controller
   */
  public LeaderElection(
      EventLoop loop,
      KeyValueStore store,
      NodeId self,
      Duration ttl,
      Listener listener,
      Supplier<Duration> yields) {
    this.yields = yields;
    this.loop = loop;
    this.store = store;
    this.self = self;
    this.ttl = ttl;
    this.listener = listener;
    this.renewedAt = loop.now().minus(ttl);
    this.notBefore = loop.now();
  }

  /** The only place where the state changes. */
  private void transitionTo(State next) {
    State old = state;
    state = next;
    if (old != next) {
      LOG.info("election {} -> {}", old, next);
    }
    if (next == State.LEADING) {
      listener.won(term);
    } else if (old == State.LEADING) {
      hold.ifPresent(held -> store.endHold(held, answer -> {}));
      hold = Optional.empty();
      listener.lost();
    }
  }

  /** Called whenever the view of the control keys changes. */
  public void observe(ClusterView view, boolean ready) {
    if (state == State.LEADING) {
      Optional<ClusterView.LeaderRecord> seen = view.leader();
      if (seen.isPresent() && seen.get().term().compareTo(term) > 0) {
        resign("another leader");
      }
    } else if (state == State.FOLLOWING && ready && view.leader().isEmpty()) {
      transitionTo(State.STANDING);
      // Spread, so that not all nodes try at the same moment; one that was chosen need not wait.
      Duration spread = Duration.ofMillis((long) (50 + 250 * loop.random()));
      Duration wait = notBefore.isAfter(loop.now()) ? notBefore.since(loop.now()) : Duration.ZERO;
      wait = wait.compareTo(yields.get()) > 0 ? wait : yields.get();
      loop.after(chosen ? Duration.ZERO : wait.plus(spread), () -> stand(view));
      chosen = false;
    }
  }

  private void stand(ClusterView view) {
    if (view.leader().isPresent()) {
      transitionTo(State.FOLLOWING);
      return;
    }
    MonotonicTime sent = loop.now();
    store.grantHold(
        ttl,
        answer -> {
          if (answer instanceof Answer.Found<LeaseId> found) {
            hold = Optional.of(found.value());
            renewedAt = sent;
            take(found.value(), view);
          } else {
            giveUp(view);
          }
        });
  }

  private void take(LeaseId held, ClusterView view) {
    store.commit(
        List.of(new Guard(StoreKeys.LEADER, new Revision(0))),
        List.of(Write.put(StoreKeys.LEADER, ClusterView.leaderValue(self, held), held)),
        KeyValueStore.Urgency.URGENT,
        outcome -> {
          if (outcome instanceof KeyValueStore.Outcome.Committed committed) {
            term = committed.revision();
            transitionTo(State.LEADING);
            renew(held);
          } else {
            // A win whose answer was lost ends with this lease.
            store.endHold(held, ended -> {});
            hold = Optional.empty();
            giveUp(view);
          }
        });
  }

  private void giveUp(ClusterView view) {
    transitionTo(State.FOLLOWING);
    loop.after(Duration.ofMillis((long) (300 + 400 * loop.random())), () -> observe(view, true));
  }

  private void renew(LeaseId held) {
    if (state != State.LEADING || !hold.equals(Optional.of(held))) {
      return;
    }
    MonotonicTime sent = loop.now();
    store.renew(
        held,
        answer -> {
          if (state != State.LEADING || !hold.equals(Optional.of(held))) {
            return;
          }
          if (answer instanceof Answer.Absent<Boolean>) {
            resign("lease over");
            return;
          }
          boolean renewed = answer instanceof Answer.Found<Boolean>;
          if (renewed) {
            renewedAt = sent;
          }
          loop.after(renewed ? ttl.dividedBy(4) : ttl.dividedBy(8), () -> renew(held));
        });
  }

  public void resign(String why) {
    if (state == State.LEADING) {
      LOG.warn("leadership lost: {}", why);
      transitionTo(State.FOLLOWING);
    }
  }

  /** The standing term, and the lease that it hangs on. */
  public record Standing(Revision term, LeaseId hold) {}

  /** What a peer needs to end this term's lease; none if this node does not lead. */
  public Optional<Standing> standing() {
    return state == State.LEADING ? hold.map(held -> new Standing(term, held)) : Optional.empty();
  }

  /**
   * A leader that lost the state service gave up its term. Ending its lease harms no rule: every
   * write of that term demands that the key stands, and it has stopped acting. One controller is to
   * do so and to lead; the others do if that does not come about. A late message ends nothing: the
   * lease is long over.
   */
  public void onResignation(Standing ended, boolean asked, ClusterView view) {
    if (state != State.FOLLOWING) {
      return;
    }
    if (asked) {
      chosen = stands(ended, view);
      store.endHold(ended.hold(), answer -> {});
    } else {
      notBefore = loop.now().plus(GIVEN_TO_CHOSEN);
      loop.after(
          GIVEN_TO_CHOSEN,
          () -> {
            if (stands(ended, view)) {
              store.endHold(ended.hold(), answer -> {});
            }
          });
    }
  }

  private static boolean stands(Standing known, ClusterView view) {
    return view.leader().filter(leader -> leader.term().equals(known.term())).isPresent();
  }

  public boolean leading() {
    return state == State.LEADING;
  }

  /** Whether nobody else can lead now, by our clock. */
  public boolean certain() {
    return leading() && renewedAt.plus(ttl.multipliedBy(9).dividedBy(10)).isAfter(loop.now());
  }
}
