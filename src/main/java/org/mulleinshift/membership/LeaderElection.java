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

/**
 * Leader election by compare-and-swap: the controller that creates the leader key, attached to its
 * own lease, leads for one term. Every write of the leader is conditional on the leader key still
 * being the one that it created.
 */
public final class LeaderElection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

  /** How long the other controllers leave the leader key to the successor chosen by the leader. */
  private static final Duration SUCCESSOR_GRACE = Duration.ofMillis(600);

  /** Range of the random delay that keeps candidates from campaigning simultaneously. */
  private static final double MIN_CAMPAIGN_JITTER_MS = 50;

  private static final double CAMPAIGN_JITTER_RANGE_MS = 250;

  /** Range of the random delay before the next attempt after an unsuccessful campaign. */
  private static final double MIN_RETRY_MS = 300;

  private static final double RETRY_RANGE_MS = 400;

  /** Number of lease renewals per lease lifetime. */
  private static final int RENEWALS_PER_TTL = 4;

  /** The same after a failed renewal: the next attempt follows sooner. */
  private static final int RETRIES_PER_TTL = 8;

  /** Tenths of the lease's lifetime during which the leader relies on it. */
  private static final int USABLE_TENTHS = 9;

  private static final int TENTHS = 10;

  /** Role of this controller in the election. */
  public enum State {
    /** Another controller leads, or none does and this one is not campaigning. */
    FOLLOWING,
    /** The leader key is free and this controller is trying to create it. */
    CANDIDATE,
    /** This controller created the leader key and has not lost it. */
    LEADING
  }

  /** Receives the start and the end of each term of this controller. */
  public interface Listener {
    /**
     * Called when this controller has become the leader.
     *
     * @param term the store revision at which the leader key was created
     */
    void onElected(Revision term);

    /** Called when this controller no longer leads, once for each {@link #onElected}. */
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
  private MonotonicTime campaignNotBefore;

  /** Whether the next campaign starts without delay. */
  private boolean skipCampaignDelay;

  /**
   * Creates a follower, which campaigns once {@link #observe} shows that the leader key is free.
   *
   * @param ttl lifetime of the lease that the leader key is attached to
   * @param campaignDelay how long a free leader key is left to another controller
   */
  public LeaderElection(
      EventLoop loop,
      KeyValueStore store,
      NodeId self,
      Duration ttl,
      Listener listener,
      Supplier<Duration> campaignDelay) {
    this.campaignDelay = campaignDelay;
    this.loop = loop;
    this.store = store;
    this.self = self;
    this.ttl = ttl;
    this.listener = listener;
    this.renewedAt = loop.now().minus(ttl);
    this.campaignNotBefore = loop.now();
  }

  /** The only place where the state changes. */
  private void transitionTo(State next) {
    State old = state;
    state = next;
    if (old != next) {
      LOG.info(
          "election state changed, from={} to={} own_term={} lease={}", old, next, term, lease);
    }
    if (next == State.LEADING) {
      listener.onElected(term);
    } else if (old == State.LEADING) {
      lease.ifPresent(ownLease -> store.revokeLease(ownLease, answer -> {}));
      lease = Optional.empty();
      listener.onLeadershipLost();
    }
  }

  /**
   * Called whenever the view of the control keys, or the readiness to lead, may have changed.
   * Resigns if a newer leader exists, and campaigns if the leader key is free.
   *
   * @param ready whether this controller is able to lead
   */
  public void observe(ClusterView view, boolean ready) {
    if (state == State.LEADING) {
      Optional<ClusterView.LeaderRecord> leader = view.leader();
      if (leader.isPresent() && leader.get().term().compareTo(term) > 0) {
        resign("another controller leads");
      }
    } else if (state == State.FOLLOWING && ready && view.leader().isEmpty()) {
      transitionTo(State.CANDIDATE);
      // A chosen successor draws a random number too, although it does not wait.
      Duration jitter = randomDelay(MIN_CAMPAIGN_JITTER_MS, CAMPAIGN_JITTER_RANGE_MS);
      Duration delay = skipCampaignDelay ? Duration.ZERO : gracePeriod().plus(jitter);
      loop.after(delay, () -> campaign(view));
      skipCampaignDelay = false;
    }
  }

  /** How long a free leader key is left to a chosen successor or the standby. */
  private Duration gracePeriod() {
    Duration untilAllowed =
        campaignNotBefore.isAfter(loop.now()) ? campaignNotBefore.since(loop.now()) : Duration.ZERO;
    Duration delay = campaignDelay.get();
    return untilAllowed.compareTo(delay) > 0 ? untilAllowed : delay;
  }

  private Duration randomDelay(double minMillis, double rangeMillis) {
    return Duration.ofMillis((long) (minMillis + rangeMillis * loop.random()));
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
            retryLater(view);
          }
        });
  }

  private void claimLeadership(LeaseId ownLease, ClusterView view) {
    store.commit(
        List.of(new Compare(StoreKeys.LEADER, new Revision(0))),
        List.of(Write.put(StoreKeys.LEADER, ClusterView.leaderValue(self, ownLease), ownLease)),
        KeyValueStore.Urgency.URGENT,
        outcome -> {
          if (outcome instanceof KeyValueStore.CommitResult.Committed committed) {
            term = committed.revision();
            transitionTo(State.LEADING);
            renew(ownLease);
          } else {
            // If the response was lost the key may exist: revoking the lease deletes it.
            store.revokeLease(ownLease, revoked -> {});
            lease = Optional.empty();
            retryLater(view);
          }
        });
  }

  private void retryLater(ClusterView view) {
    transitionTo(State.FOLLOWING);
    loop.after(randomDelay(MIN_RETRY_MS, RETRY_RANGE_MS), () -> observe(view, true));
  }

  private void renew(LeaseId ownLease) {
    if (!isCurrentLease(ownLease)) {
      return;
    }
    MonotonicTime sent = loop.now();
    store.renewLease(
        ownLease,
        answer -> {
          if (!isCurrentLease(ownLease)) {
            return;
          }
          if (answer instanceof ReadResult.Absent<Boolean>) {
            resign("lease expired");
            return;
          }
          boolean renewed = answer instanceof ReadResult.Found<Boolean>;
          if (renewed) {
            renewedAt = sent;
          }
          loop.after(
              ttl.dividedBy(renewed ? RENEWALS_PER_TTL : RETRIES_PER_TTL), () -> renew(ownLease));
        });
  }

  private boolean isCurrentLease(LeaseId ownLease) {
    return state == State.LEADING && lease.equals(Optional.of(ownLease));
  }

  /**
   * Ends the term of this controller; does nothing unless it leads.
   *
   * @param reason written to the log
   */
  public void resign(String reason) {
    if (state == State.LEADING) {
      LOG.warn("leadership lost, term={} reason={}", term, reason);
      transitionTo(State.FOLLOWING);
    }
  }

  /** A term and the lease that its leader key is attached to. */
  public record TermLease(Revision term, LeaseId lease) {}

  /** The current term and its lease, which a successor revokes; empty unless leading. */
  public Optional<TermLease> termLease() {
    return state == State.LEADING
        ? lease.map(ownLease -> new TermLease(term, ownLease))
        : Optional.empty();
  }

  /**
   * Takes over from a leader that has resigned or was found to have failed: revokes its lease, and
   * campaigns without delay once the leader key is free.
   *
   * <p>Revoking the lease is safe, since every write of that term is conditional on the leader key.
   * A call that comes late has no effect, because that lease has already expired.
   *
   * @param ended the term to end
   */
  public void takeOver(TermLease ended, ClusterView view) {
    if (state == State.FOLLOWING) {
      skipCampaignDelay = isCurrent(ended, view);
      store.revokeLease(ended.lease(), answer -> {});
    }
  }

  /**
   * Leaves the leader key for a grace period to another controller, which a resigned leader chose
   * as its successor. Revokes the old lease if the successor has not done so by then.
   *
   * @param ended the term that the leader resigned from
   */
  public void deferToSuccessor(TermLease ended, ClusterView view) {
    if (state != State.FOLLOWING) {
      return;
    }
    campaignNotBefore = loop.now().plus(SUCCESSOR_GRACE);
    loop.after(
        SUCCESSOR_GRACE,
        () -> {
          if (isCurrent(ended, view)) {
            store.revokeLease(ended.lease(), answer -> {});
          }
        });
  }

  private static boolean isCurrent(TermLease known, ClusterView view) {
    return view.leader().filter(leader -> leader.term().equals(known.term())).isPresent();
  }

  /** Whether this controller believes that it leads; its lease may have expired. */
  public boolean isLeading() {
    return state == State.LEADING;
  }

  /** Whether, by this controller's monotonic clock, no other controller can lead now. */
  public boolean holdsValidLease() {
    Duration usable = ttl.multipliedBy(USABLE_TENTHS).dividedBy(TENTHS);
    return isLeading() && renewedAt.plus(usable).isAfter(loop.now());
  }
}
