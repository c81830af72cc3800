package org.mulleinshift.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.Compare;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Collects the leader's mutations of the store and commits them in few transactions, one at a time.
 *
 * <p>Every transaction is guarded by the leader's term and by the last known revision of each key
 * that it writes, so that a transaction applied late has no effect: a later write has changed the
 * revision.
 */
public final class TransactionBatcher {
  private static final Logger LOG = LoggerFactory.getLogger(TransactionBatcher.class);
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  /** Maximum number of mutation names whose rejection is logged, once each. */
  private static final int MAX_LOGGED_REJECTIONS = 1000;

  /** The revision of a key that does not exist. */
  private static final Revision ABSENT_KEY_REVISION = new Revision(0);

  /** States of the batcher. */
  public enum State {
    /** No transaction is in flight. */
    IDLE,
    /** A transaction was sent and not yet answered. */
    COMMITTING,
    /** A transaction failed or its outcome is unknown; its keys are being read again. */
    REREADING,
    /** The term is over. */
    CLOSED
  }

  /**
   * A change that is stored atomically. Its writes are computed when it is sent; if there are none,
   * it is dropped.
   */
  public interface Mutation {
    /** The writes for the current state; empty if there is nothing left to store. */
    List<Write> writes();

    /** The writes that were returned last are stored at the revision. */
    void onCommitted(Revision revision);

    /** Whether something waits for it to be stored; otherwise it may be deferred for a while. */
    default boolean urgent() {
      return true;
    }

    /**
     * Whether it goes before all others while it is urgent, such as one that stores many changes in
     * few writes.
     */
    default boolean takesPrecedence() {
      return false;
    }

    /**
     * The store rejected the mutation and would reject it again in this form. It was dropped; the
     * implementation may change it and submit it again.
     */
    default void onRejected() {}

    /**
     * A key was read again after a conflict or a missing response; the mutation may adapt its
     * writes to the item, or return none from now on. The item is empty if the key does not exist.
     */
    default void onReread(String key, Optional<KeyValue> item) {}
  }

  private final EventLoop loop;
  private final KeyValueStore store;
  private final Revision term;
  private final Duration minInterval;
  private final Runnable onLeadershipLost;
  private final PendingMutations mutations;
  private final Map<String, Revision> lastSeenRevisions = new HashMap<>();
  private final Set<String> loggedRejections = new HashSet<>();
  private State state = State.IDLE;
  private boolean flushScheduled;
  private int consecutiveUnconfirmed;
  private MonotonicTime lastSentAt;

  /**
   * Creates a batcher for one term.
   *
   * @param term revision of the leader key, compared by every transaction
   * @param maxWrites maximum number of writes of a transaction
   * @param minInterval minimum time between two transactions: mutations submitted meanwhile share
   *     the next one, which leaves more of the request rate to other calls
   * @param onLeadershipLost called when a read shows that the term is over
   */
  public TransactionBatcher(
      EventLoop loop,
      KeyValueStore store,
      Revision term,
      int maxWrites,
      Duration minInterval,
      Runnable onLeadershipLost) {
    this.loop = loop;
    this.store = store;
    this.term = term;
    this.minInterval = minInterval;
    this.lastSentAt = loop.now().minus(minInterval);
    this.onLeadershipLost = onLeadershipLost;
    this.mutations = new PendingMutations(loop, maxWrites);
  }

  /**
   * Confirms with the store that the term is current at some moment after this call, for actions
   * that no guard of a transaction protects. The clock alone is not enough: the lease may have been
   * revoked before it expired.
   *
   * @param onConfirmed called if the term is current
   * @param onUnconfirmed called if it is not, or cannot be confirmed
   */
  public void confirmLeadership(Runnable onConfirmed, Runnable onUnconfirmed) {
    store.commit(
        List.of(leaderGuard()),
        List.of(),
        KeyValueStore.Urgency.PROMPT,
        result -> {
          if (result instanceof KeyValueStore.CommitResult.Committed && state != State.CLOSED) {
            onConfirmed.run();
          } else {
            onUnconfirmed.run();
          }
        });
  }

  /** The term that guards the transactions: the revision of the leader key. */
  public Revision term() {
    return term;
  }

  /** Records the revision at which a key was last seen; guards the next write of the key. */
  public void recordRevision(String key, Revision revision) {
    lastSeenRevisions.put(key, revision);
  }

  /** Whether the key existed in the store when it was last seen. */
  public boolean hasRevision(String key) {
    return lastSeenRevisions.containsKey(key);
  }

  /** Forgets the revision of a key that will not be written again. */
  public void forgetRevision(String key) {
    lastSeenRevisions.remove(key);
  }

  /** Submits a mutation; replaces one of the same name that has not been sent yet. */
  public void submit(String name, Mutation mutation) {
    if (state == State.CLOSED) {
      return;
    }
    mutations.add(name, mutation);
    scheduleFlush(Duration.ZERO);
  }

  /** Submits a mutation to be stored when no other is pending and the rate allows it. */
  public void submitWhenIdle(String name, Mutation mutation) {
    if (state != State.CLOSED) {
      mutations.addWhenIdle(name, mutation);
      scheduleFlush(Duration.ZERO);
    }
  }

  /** Closes the batcher at the end of the term: drops all mutations and accepts no more. */
  public void close() {
    transitionTo(State.CLOSED);
    mutations.clear();
  }

  /** Changes the state, unless the batcher is closed; all changes of state go through here. */
  private void transitionTo(State next) {
    if (state != State.CLOSED) {
      state = next;
    }
  }

  private void scheduleFlush(Duration delay) {
    if (flushScheduled) {
      return;
    }
    flushScheduled = true;
    Runnable flush =
        () -> {
          flushScheduled = false;
          flush();
        };
    Duration remainingInterval = minInterval.minus(loop.now().since(lastSentAt));
    if (remainingInterval.compareTo(delay) > 0) {
      loop.after(remainingInterval, flush);
    } else if (delay.isZero()) {
      // Runs after the current event loop step, so that all its changes share a transaction.
      loop.post(flush);
    } else {
      loop.after(delay, flush);
    }
  }

  private void flush() {
    if (state == State.IDLE) {
      mutations.takeBatch().ifPresent(this::commit);
    }
  }

  private void commit(PendingMutations.Batch batch) {
    lastSentAt = loop.now();
    transitionTo(State.COMMITTING);
    store.commit(guards(batch), batch.writes(), batch.urgency(), result -> onResult(batch, result));
  }

  private Compare leaderGuard() {
    return new Compare(StoreKeys.LEADER, term);
  }

  private List<Compare> guards(PendingMutations.Batch batch) {
    List<Compare> guards = new ArrayList<>();
    guards.add(leaderGuard());
    for (String key : batch.keys()) {
      guards.add(new Compare(key, lastSeenRevisions.getOrDefault(key, ABSENT_KEY_REVISION)));
    }
    return guards;
  }

  private void onResult(PendingMutations.Batch batch, KeyValueStore.CommitResult result) {
    if (state == State.CLOSED) {
      return;
    }
    if (result instanceof KeyValueStore.CommitResult.Committed committed) {
      onCommitted(batch, committed.revision());
    } else if (result instanceof KeyValueStore.CommitResult.Rejected rejection) {
      onRejected(batch, rejection.reason());
    } else if (result instanceof KeyValueStore.CommitResult.Refused
        || result instanceof KeyValueStore.CommitResult.Busy) {
      mutations.restore(batch);
      transitionTo(State.IDLE);
      scheduleFlush(RETRY_DELAY);
    } else {
      onUncertain(batch, result);
    }
  }

  private void onCommitted(PendingMutations.Batch batch, Revision revision) {
    for (Write write : batch.writes()) {
      if (write.value().isPresent()) {
        lastSeenRevisions.put(write.key(), revision);
      } else {
        lastSeenRevisions.remove(write.key());
      }
    }
    transitionTo(State.IDLE);
    consecutiveUnconfirmed = 0;
    mutations.onCommitted(batch);
    batch.mutations().values().forEach(mutation -> mutation.onCommitted(revision));
    scheduleFlush(Duration.ZERO);
  }

  /**
   * Handles a transaction that the store would reject again: sends its mutations one by one to find
   * the cause. A mutation that is rejected alone is dropped, so that it does not block the others.
   */
  private void onRejected(PendingMutations.Batch batch, String reason) {
    transitionTo(State.IDLE);
    if (batch.mutations().size() > 1) {
      mutations.restoreForSingleCommits(batch);
    } else {
      batch.mutations().forEach((name, mutation) -> onRejected(name, mutation, reason));
    }
    scheduleFlush(RETRY_DELAY);
  }

  private void onRejected(String name, Mutation mutation, String reason) {
    mutations.onRejected(name);
    if (loggedRejections.size() < MAX_LOGGED_REJECTIONS && loggedRejections.add(name)) {
      LOG.error("mutation rejected by the store, name={} reason={}", name, reason);
    }
    mutation.onRejected();
  }

  /**
   * Handles a conflict, an expired lease or an unknown outcome: the recorded revisions may be out
   * of date, so each key is read again before it is written.
   */
  private void onUncertain(PendingMutations.Batch batch, KeyValueStore.CommitResult result) {
    mutations.restore(batch);
    consecutiveUnconfirmed++;
    LOG.info(
        "transaction not confirmed, term={} result={} writes={} in_a_row={}",
        term,
        result.getClass().getSimpleName(),
        batch.writesByKind(),
        consecutiveUnconfirmed);
    transitionTo(State.REREADING);
    List<String> keys = new ArrayList<>();
    keys.add(StoreKeys.LEADER);
    keys.addAll(batch.keys());
    reread(keys, batch);
  }

  /** Reads the keys one by one, from last to first. */
  private void reread(List<String> keys, PendingMutations.Batch batch) {
    if (state == State.CLOSED) {
      return;
    }
    if (keys.isEmpty()) {
      transitionTo(State.IDLE);
      scheduleFlush(Duration.ZERO);
      return;
    }
    String key = keys.get(keys.size() - 1);
    store.get(key, KeyValueStore.Urgency.NORMAL, result -> onReread(keys, batch, result));
  }

  private void onReread(
      List<String> keys, PendingMutations.Batch batch, KeyValueStore.ReadResult<KeyValue> result) {
    if (state == State.CLOSED) {
      return;
    }
    Optional<KeyValue> item;
    if (result instanceof KeyValueStore.ReadResult.Found<KeyValue> found) {
      item = Optional.of(found.value());
    } else if (result instanceof KeyValueStore.ReadResult.Absent<KeyValue>) {
      item = Optional.empty();
    } else {
      loop.after(RETRY_DELAY, () -> reread(keys, batch));
      return;
    }
    String key = keys.remove(keys.size() - 1);
    if (key.equals(StoreKeys.LEADER) && !isThisTerm(item)) {
      onLeadershipLost.run();
      return;
    }
    item.ifPresentOrElse(
        found -> lastSeenRevisions.put(key, found.revision()), () -> lastSeenRevisions.remove(key));
    batch.mutations().values().forEach(mutation -> mutation.onReread(key, item));
    reread(keys, batch);
  }

  private boolean isThisTerm(Optional<KeyValue> leader) {
    return leader.map(KeyValue::revision).filter(term::equals).isPresent();
  }
}
