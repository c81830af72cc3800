package org.mulleinshift.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.membership.OwnershipLease.Ground;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.LeaseId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.protocol.StoreCodec.Guard;
import org.mulleinshift.protocol.StoreCodec.Item;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.Answer;
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
    CLEARING,
    ACQUIRING,
    REGISTERING,
    HELD
  }

  private final EventLoop loop;
  private final KeyValueStore store;
  private final NodeId self;
  private final Duration ttl;
  private final Duration renewEvery;
  private final Runnable proveCancellations;
  private final Runnable onChange;
  private final OwnershipLease right;
  private State state = State.CLEARING;
  private Optional<LeaseId> hold = Optional.empty();
  private MonotonicTime verifiedAt;
  private boolean stood;
  private Map<ShardId, Revision> verified = Map.of();
  private boolean verifyPlanned;

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
    this.proveCancellations = proveCancellations;
    this.onChange = onChange;
    this.right = new OwnershipLease(ttl);
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
          if (answer instanceof Answer.Found<Item> found
              && found.value().value().path("node").asText().equals(self.value())) {
            endOld(new LeaseId(found.value().value().path("hold").asLong()), this::clearNodeKey);
          } else if (answer instanceof Answer.Found<Item>
              || answer instanceof Answer.Absent<Item>) {
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
          if (answer instanceof Answer.Found<Item> found) {
            endOld(ClusterView.nodeRecord(found.value()).hold(), this::acquire);
          } else if (answer instanceof Answer.Absent<Item>) {
            acquire();
          } else {
            loop.after(RETRY, this::clearNodeKey);
          }
        });
  }

  private void endOld(LeaseId old, Runnable next) {
    store.endHold(
        old,
        answer -> {
          if (answer instanceof Answer.Found<Boolean> || answer instanceof Answer.Absent<Boolean>) {
            next.run();
          } else {
            loop.after(RETRY, () -> endOld(old, next));
          }
        });
  }

  private void acquire() {
    transitionTo(State.ACQUIRING);
    MonotonicTime sent = loop.now();
    store.grantHold(
        ttl,
        answer -> {
          if (answer instanceof Answer.Found<LeaseId> found) {
            hold = Optional.of(found.value());
            renewed(sent);
            register(found.value());
          } else {
            loop.after(RETRY, this::acquire);
          }
        });
  }

  private void register(LeaseId mine) {
    transitionTo(State.REGISTERING);
    store.commit(
        List.of(new Guard(StoreKeys.node(self), new Revision(0))),
        List.of(Write.put(StoreKeys.node(self), ClusterView.nodeValue(mine), mine)),
        KeyValueStore.Urgency.URGENT,
        outcome -> {
          if (outcome instanceof KeyValueStore.Outcome.Committed) {
            transitionTo(State.HELD);
            renew(mine);
          } else {
            // Silence may mean that our own key is there already: start over, which finds it.
            loop.after(RETRY, this::clearNodeKey);
          }
        });
  }

  private void renew(LeaseId mine) {
    if (!hold.equals(Optional.of(mine))) {
      return;
    }
    MonotonicTime sent = loop.now();
    verify();
    if (!right.fresh(Ground.CANCELLATIONS_KNOWN, sent, renewEvery.dividedBy(2))) {
      proveCancellations.run();
    }
    store.renew(
        mine,
        answer -> {
          if (!hold.equals(Optional.of(mine))) {
            // A peer found meanwhile that it is over.
            return;
          }
          if (answer instanceof Answer.Found<Boolean>) {
            renewed(sent);
            loop.after(renewEvery, () -> renew(mine));
          } else if (answer instanceof Answer.Absent<Boolean>) {
            over(mine);
          } else {
            loop.after(RETRY, () -> renew(mine));
          }
        });
  }

  private void renewed(MonotonicTime sent) {
    right.shown(Ground.SESSION_RENEWED, sent);
  }

  private void over(LeaseId mine) {
    LOG.warn("session lease {} is over", mine);
    hold = Optional.empty();
    right.gone(Ground.SESSION_RENEWED);
    verified = Map.of();
    acquire();
  }

  private void verified(MonotonicTime sent, Map<ShardId, Revision> mine) {
    if (sent.isAfter(verifiedAt)) {
      verifiedAt = sent;
      right.shown(Ground.GRANTS_READ, sent);
      boolean changed = !mine.equals(verified);
      verified = mine;
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
  public void proven(LeaseId renewed, MonotonicTime sent, Map<ShardId, Revision> mine) {
    if (state == State.HELD && hold.equals(Optional.of(renewed))) {
      renewed(sent);
      verified(sent, mine);
    }
  }

  /** A peer found that the lease is over. */
  public void provenOver(LeaseId ended) {
    if (state == State.HELD && hold.equals(Optional.of(ended))) {
      over(ended);
    }
  }

  /** Reads which grants stand. A watch does not prove that: its news may be held back. */
  private void verify() {
    MonotonicTime sent = loop.now();
    store.range(
        StoreKeys.GRANTS,
        answer -> {
          if (answer instanceof Answer.Found<StoreCodec.Range> found) {
            Map<ShardId, Revision> mine = new HashMap<>();
            for (Item item : found.value().items()) {
              if (item.value().path("holder").asText().equals(self.value())) {
                mine.put(
                    new ShardId(item.key().substring(StoreKeys.GRANTS.length())), item.version());
              }
            }
            verified(sent, mine);
          }
        });
  }

  /** Called when a watch brings news of the grants. */
  public void verifySoon() {
    if (verifyPlanned || state != State.HELD) {
      return;
    }
    verifyPlanned = true;
    loop.after(
        Duration.ofMillis(5),
        () -> {
          verifyPlanned = false;
          verify();
        });
  }

  /**
   * Every cancellation stored before that moment is known here.
   *
   * @param asked when the question was sent whose answer showed it
   */
  public void cancellationsKnown(MonotonicTime asked) {
    right.shown(Ground.CANCELLATIONS_KNOWN, asked);
  }

  /** Checked whenever this node acts, not only by a timer: timers may go off late. */
  public boolean entitled(ShardId shard, Revision grant) {
    return mayAct() && grant.equals(verified.get(shard));
  }

  /** Whether this node may act at all, for the shards that are its own. */
  boolean mayAct() {
    return state == State.HELD && right.stands(loop.now());
  }

  /** For the log; called a few times a second while shards are held. */
  public void tellRight() {
    boolean stands = mayAct();
    if (stood && !stands) {
      LOG.warn("may not act for its blocks: {}", right.weakest(loop.now()));
    } else if (!stood && stands) {
      LOG.info("may act for its blocks");
    }
    stood = stands;
  }

  public Map<ShardId, Revision> grants() {
    return verified;
  }

  public Optional<LeaseId> hold() {
    return state == State.HELD ? hold : Optional.empty();
  }

  public State state() {
    return state;
  }
}
