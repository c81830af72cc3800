package org.mulleinshift.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.membership.OwnershipLease.Evidence;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.LeaseId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.protocol.StoreCodec.Compare;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.ReadResult;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This process's lease at the state service, to which its shard grants are bound, and the proof
 * that the grants still stand. How long this node may act by them is its {@link OwnershipLease}.
 */
public final class ControllerSession {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerSession.class);
  private static final Duration RETRY = Duration.ofMillis(500);

  /** States of the session. */
  public enum State {
    /** Ending the lease of this label's earlier process, which is surely dead. */
    REVOKING_OLD,
    ACQUIRING,
    REGISTERING,
    ACTIVE
  }

  private final EventLoop loop;
  private final KeyValueStore store;
  private final NodeId self;
  private final Duration ttl;
  private final Duration renewEvery;
  private final Runnable confirmCancellations;
  private final Runnable onChange;
  private final OwnershipLease ownership;
  private State state = State.REVOKING_OLD;
  private Optional<LeaseId> lease = Optional.empty();
  private MonotonicTime verifiedAt;
  private boolean couldAct;
  private Map<ShardId, Revision> onGrantsVerified = Map.of();
  private boolean verifyScheduled;

  /**
   * @param proveCancellations asks the store whether all cancellations are known; {@link
   *     #cancellationsKnown} tells what came of it
   */
  public ControllerSession(
      EventLoop loop,
      KeyValueStore store,
      NodeId self,
      Duration ttl,
      Duration renewEvery,
      Runnable proveCancellations,
      Runnable onChange) {
    this.loop = loop;
    this.store = store;
    this.self = self;
    this.ttl = ttl;
    this.renewEvery = renewEvery;
    this.confirmCancellations = proveCancellations;
    this.onChange = onChange;
    this.ownership = new OwnershipLease(ttl);
    this.verifiedAt = loop.now().minus(ttl);
  }

  public void start() {
    clearLeaderKey();
  }

  private void transitionTo(State next) {
    LOG.info("session {} -> {}", state, next);
    state = next;
    onChange.run();
  }

  /** A restarted leader frees the leader's key at once instead of waiting for its lease. */
  private void clearLeaderKey() {
    store.get(
        StoreKeys.LEADER,
        KeyValueStore.Urgency.URGENT,
        answer -> {
          if (answer instanceof ReadResult.Found<KeyValue> found
              && found.value().value().path("node").asText().equals(self.value())) {
            revokeOldLease(
                new LeaseId(found.value().value().path("hold").asLong()), this::clearNodeKey);
          } else if (answer instanceof ReadResult.Found<KeyValue>
              || answer instanceof ReadResult.Absent<KeyValue>) {
            clearNodeKey();
          } else {
            loop.after(RETRY, this::clearLeaderKey);
          }
        });
  }

  private void clearNodeKey() {
    store.get(
        StoreKeys.node(self),
        KeyValueStore.Urgency.URGENT,
        answer -> {
          if (answer instanceof ReadResult.Found<KeyValue> found) {
            revokeOldLease(ClusterView.nodeRecord(found.value()).lease(), this::acquire);
          } else if (answer instanceof ReadResult.Absent<KeyValue>) {
            acquire();
          } else {
            loop.after(RETRY, this::clearNodeKey);
          }
        });
  }

  private void revokeOldLease(LeaseId old, Runnable next) {
    store.revokeLease(
        old,
        answer -> {
          if (answer instanceof ReadResult.Found<Boolean>
              || answer instanceof ReadResult.Absent<Boolean>) {
            next.run();
          } else {
            loop.after(RETRY, () -> revokeOldLease(old, next));
          }
        });
  }

  private void acquire() {
    transitionTo(State.ACQUIRING);
    MonotonicTime sent = loop.now();
    store.grantLease(
        ttl,
        answer -> {
          if (answer instanceof ReadResult.Found<LeaseId> found) {
            lease = Optional.of(found.value());
            onRenewed(sent);
            register(found.value());
          } else {
            loop.after(RETRY, this::acquire);
          }
        });
  }

  private void register(LeaseId mine) {
    transitionTo(State.REGISTERING);
    store.commit(
        List.of(new Compare(StoreKeys.node(self), new Revision(0))),
        List.of(Write.put(StoreKeys.node(self), ClusterView.nodeValue(mine), mine)),
        KeyValueStore.Urgency.URGENT,
        outcome -> {
          if (outcome instanceof KeyValueStore.CommitResult.Committed) {
            transitionTo(State.ACTIVE);
            renew(mine);
          } else {
            // Silence may mean that our own key is there already: start over, which finds it.
            loop.after(RETRY, this::clearNodeKey);
          }
        });
  }

  private void renew(LeaseId mine) {
    if (!lease.equals(Optional.of(mine))) {
      return;
    }
    MonotonicTime sent = loop.now();
    verifyGrants();
    if (!ownership.fresh(Evidence.CANCELLATIONS_KNOWN, sent, renewEvery.dividedBy(2))) {
      confirmCancellations.run();
    }
    store.renewLease(
        mine,
        answer -> {
          if (!lease.equals(Optional.of(mine))) {
            // A peer found meanwhile that it is over.
            return;
          }
          if (answer instanceof ReadResult.Found<Boolean>) {
            onRenewed(sent);
            loop.after(renewEvery, () -> renew(mine));
          } else if (answer instanceof ReadResult.Absent<Boolean>) {
            onLeaseExpired(mine);
          } else {
            loop.after(RETRY, () -> renew(mine));
          }
        });
  }

  private void onRenewed(MonotonicTime sent) {
    ownership.confirm(Evidence.SESSION_RENEWED, sent);
  }

  private void onLeaseExpired(LeaseId mine) {
    LOG.warn("session lease {} is over", mine);
    lease = Optional.empty();
    ownership.invalidate(Evidence.SESSION_RENEWED);
    onGrantsVerified = Map.of();
    acquire();
  }

  private void onGrantsVerified(MonotonicTime sent, Map<ShardId, Revision> mine) {
    if (sent.isAfter(verifiedAt)) {
      verifiedAt = sent;
      ownership.confirm(Evidence.GRANTS_READ, sent);
      boolean changed = !mine.equals(onGrantsVerified);
      onGrantsVerified = mine;
      if (changed) {
        onChange.run();
      }
    }
  }

  /**
   * A peer renewed this lease and read the grants for us. Both happened after we asked.
   *
   * @param sent when this node asked
   */
  public void onRenewedByPeer(LeaseId renewed, MonotonicTime sent, Map<ShardId, Revision> mine) {
    if (state == State.ACTIVE && lease.equals(Optional.of(renewed))) {
      onRenewed(sent);
      onGrantsVerified(sent, mine);
    }
  }

  /** A peer found that the lease is over. */
  public void onExpiryReportedByPeer(LeaseId ended) {
    if (state == State.ACTIVE && lease.equals(Optional.of(ended))) {
      onLeaseExpired(ended);
    }
  }

  /** Reads which grants stand. A watch does not prove that: its news may be held back. */
  private void verifyGrants() {
    MonotonicTime sent = loop.now();
    store.readAll(
        StoreKeys.GRANTS,
        answer -> {
          if (answer instanceof ReadResult.Found<StoreCodec.Range> found) {
            Map<ShardId, Revision> mine = new HashMap<>();
            for (KeyValue item : found.value().items()) {
              if (item.value().path("holder").asText().equals(self.value())) {
                mine.put(
                    new ShardId(item.key().substring(StoreKeys.GRANTS.length())), item.revision());
              }
            }
            onGrantsVerified(sent, mine);
          }
        });
  }

  /** Called when a watch brings news of the grants. */
  public void verifyGrantsSoon() {
    if (verifyScheduled || state != State.ACTIVE) {
      return;
    }
    verifyScheduled = true;
    loop.after(
        Duration.ofMillis(5),
        () -> {
          verifyScheduled = false;
          verifyGrants();
        });
  }

  /**
   * Every cancellation stored before that moment is known here.
   *
   * @param asked when the question was sent whose answer showed it
   */
  public void onCancellationsKnown(MonotonicTime asked) {
    ownership.confirm(Evidence.CANCELLATIONS_KNOWN, asked);
  }

  /** Checked whenever this node acts, not only by a timer: timers may go off late. */
  public boolean mayActFor(ShardId shard, Revision grant) {
    return mayAct() && grant.equals(onGrantsVerified.get(shard));
  }

  /** Whether this node may act at all, for the shards that are its own. */
  boolean mayAct() {
    return state == State.ACTIVE && ownership.isValid(loop.now());
  }

  /** For the log; called a few times a second while shards are held. */
  public void logOwnershipChange() {
    boolean stands = mayAct();
    if (couldAct && !stands) {
      LOG.warn("may not act for its blocks: {}", ownership.describeOldest(loop.now()));
    } else if (!couldAct && stands) {
      LOG.info("may act for its blocks");
    }
    couldAct = stands;
  }

  public Map<ShardId, Revision> grants() {
    return onGrantsVerified;
  }

  public Optional<LeaseId> lease() {
    return state == State.ACTIVE ? lease : Optional.empty();
  }

  public State state() {
    return state;
  }
}
