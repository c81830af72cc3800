package org.mulleinshift.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.LeaseId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.Compare;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.ReadResult;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Who takes the leader's key leads; each of the leader's writes demands that it still has it. */
public final class LeaderElection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

  /** So long the others leave it to the one that was asked to lead. */
  private static final Duration SUCCESSOR_GRACE = Duration.ofMillis(600);

  /** States of a node in the election. */
  public enum State {
    FOLLOWING,
    CANDIDATE,
    LEADING
  }

  /** Hears of the start and the end of a term of this node. */
  public interface Listener {
    void onElected(Revision term);

    void onLeadershipLost();
  }

  private final EventLoop loop;
  private final KeyValueStore store;
  private final NodeId self;
  private final Duration ttl;
  private final Listener listener;
  private final Supplier<Duration> campaignDelay;
  private State state = State.FOLLOWING;
  private Optional<LeaseId> lease = Optional.empty();
  private Revision term = new Revision(0);
  private MonotonicTime renewedAt;
  private MonotonicTime notBefore;
  private boolean preferred;

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
    this.campaignDelay = yields;
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
      listener.onElected(term);
    } else if (old == State.LEADING) {
      lease.ifPresent(held -> store.revokeLease(held, answer -> {}));
      lease = Optional.empty();
      listener.onLeadershipLost();
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
      transitionTo(State.CANDIDATE);
      // Spread, so that not all nodes try at the same moment; one that was chosen need not wait.
      Duration spread = Duration.ofMillis((long) (50 + 250 * loop.random()));
      Duration wait = notBefore.isAfter(loop.now()) ? notBefore.since(loop.now()) : Duration.ZERO;
      wait = wait.compareTo(campaignDelay.get()) > 0 ? wait : campaignDelay.get();
      loop.after(preferred ? Duration.ZERO : wait.plus(spread), () -> campaign(view));
      preferred = false;
    }
  }

  private void campaign(ClusterView view) {
    if (view.leader().isPresent()) {
      transitionTo(State.FOLLOWING);
      return;
    }
    MonotonicTime sent = loop.now();
    store.grantLease(
        ttl,
        answer -> {
          if (answer instanceof ReadResult.Found<LeaseId> found) {
            lease = Optional.of(found.value());
            renewedAt = sent;
            claimLeadership(found.value(), view);
          } else {
            abandonCampaign(view);
          }
        });
  }

  private void claimLeadership(LeaseId held, ClusterView view) {
    store.commit(
        List.of(new Compare(StoreKeys.LEADER, new Revision(0))),
        List.of(Write.put(StoreKeys.LEADER, ClusterView.leaderValue(self, held), held)),
        KeyValueStore.Urgency.URGENT,
        outcome -> {
          if (outcome instanceof KeyValueStore.CommitResult.Committed committed) {
            term = committed.revision();
            transitionTo(State.LEADING);
            renew(held);
          } else {
            // A win whose answer was lost ends with this lease.
            store.revokeLease(held, ended -> {});
            lease = Optional.empty();
            abandonCampaign(view);
          }
        });
  }

  private void abandonCampaign(ClusterView view) {
    transitionTo(State.FOLLOWING);
    loop.after(Duration.ofMillis((long) (300 + 400 * loop.random())), () -> observe(view, true));
  }

  private void renew(LeaseId held) {
    if (state != State.LEADING || !lease.equals(Optional.of(held))) {
      return;
    }
    MonotonicTime sent = loop.now();
    store.renewLease(
        held,
        answer -> {
          if (state != State.LEADING || !lease.equals(Optional.of(held))) {
            return;
          }
          if (answer instanceof ReadResult.Absent<Boolean>) {
            resign("lease over");
            return;
          }
          boolean renewed = answer instanceof ReadResult.Found<Boolean>;
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
  public record TermLease(Revision term, LeaseId lease) {}

  /** What a peer needs to end this term's lease; none if this node does not lead. */
  public Optional<TermLease> termLease() {
    return state == State.LEADING ? lease.map(held -> new TermLease(term, held)) : Optional.empty();
  }

  /**
   * A leader that lost the state service gave up its term. Ending its lease harms no rule: every
   * write of that term demands that the key stands, and it has stopped acting. One controller is to
   * do so and to lead; the others do if that does not come about. A late message ends nothing: the
   * lease is long over.
   */
  public void onLeadershipTransfer(TermLease ended, boolean asked, ClusterView view) {
    if (state != State.FOLLOWING) {
      return;
    }
    if (asked) {
      preferred = isCurrent(ended, view);
      store.revokeLease(ended.lease(), answer -> {});
    } else {
      notBefore = loop.now().plus(SUCCESSOR_GRACE);
      loop.after(
          SUCCESSOR_GRACE,
          () -> {
            if (isCurrent(ended, view)) {
              store.revokeLease(ended.lease(), answer -> {});
            }
          });
    }
  }

  private static boolean isCurrent(TermLease known, ClusterView view) {
    return view.leader().filter(leader -> leader.term().equals(known.term())).isPresent();
  }

  public boolean leading() {
    return state == State.LEADING;
  }

  /** Whether nobody else can lead now, by our clock. */
  public boolean holdsValidLease() {
    return leading() && renewedAt.plus(ttl.multipliedBy(9).dividedBy(10)).isAfter(loop.now());
  }
}
