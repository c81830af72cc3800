package org.mulleinshift.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
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
 * The leader's way to the store: collects what has changed and writes it in few transactions, one
 * at a time. Every transaction demands that this leader still leads and that each key it writes is
 * as last seen, so a transaction applied late does nothing (a later write has moved the key on).
 */
public final class TransactionBatcher {
  private static final Logger LOG = LoggerFactory.getLogger(TransactionBatcher.class);
  private static final Duration RETRY = Duration.ofMillis(250);

  /** What need not be stored at once goes before what came after it, once it waited this long. */
  private static final Duration PATIENCE = Duration.ofSeconds(2);

  private static final int MAX_NAMED = 1000;

  /** States of the journal. */
  public enum State {
    IDLE,
    COMMITTING,
    REREADING,
    CLOSED
  }

  /**
   * A change that must be stored as a whole. Its writes are made when it is sent; none means that
   * the change is no longer wanted.
   */
  public interface Mutation {
    List<Write> writes();

    void onCommitted(Revision revision);

    /** Whether something waits for it to be stored; else it lets such units pass for a while. */
    default boolean urgent() {
      return true;
    }

    /** Whether it goes before all others while something waits for it: few changes for many. */
    default boolean takesPrecedence() {
      return false;
    }

    /** The service will never take the unit in the form that it had; it may be asked for anew. */
    default void onRejected() {}

    /** A key's current form after a conflict; the unit may adapt or give up. */
    default void onReread(String key, java.util.Optional<KeyValue> item) {}
  }

  private final EventLoop loop;
  private final KeyValueStore store;
  private final Revision term;
  private final int maxOps;
  private final Duration spacing;
  private final Runnable onLost;
  private final Map<String, Revision> revisions = new HashMap<>();
  private final Map<String, Mutation> pending = new LinkedHashMap<>();
  private final Map<String, Mutation> whenIdle = new LinkedHashMap<>();
  private final Map<String, MonotonicTime> submittedAt = new HashMap<>();
  private final Set<String> rejected = new HashSet<>();
  private int remainingSingles;
  private State state = State.IDLE;
  private boolean flushPlanned;
  private MonotonicTime sentAt;

  /**
   * A journal of one term.
   *
   * @param mostOps changes of a transaction at most
   * @param spacing least time between two transactions: what comes meanwhile shares the next one,
   *     and the requests are left to others
   * @param onLost called once it is certain that the term is over
   */
  public TransactionBatcher(
      EventLoop loop,
      KeyValueStore store,
      Revision term,
      int maxOps,
      Duration spacing,
      Runnable onLost) {
    this.loop = loop;
    this.store = store;
    this.term = term;
    this.maxOps = maxOps;
    this.spacing = spacing;
    this.sentAt = loop.now().minus(spacing);
    this.onLost = onLost;
  }

  /**
   * Calls back if the term stands at a moment after this call: for acts that no guard of the store
   * covers. By the clock alone it may seem to stand after its lease was ended early.
   */
  public void ifStillLeader(Runnable then, Runnable otherwise) {
    store.commit(
        List.of(new Compare(StoreKeys.LEADER, term)),
        List.of(),
        KeyValueStore.Urgency.PROMPT,
        outcome -> {
          if (outcome instanceof KeyValueStore.CommitResult.Committed && state != State.CLOSED) {
            then.run();
          } else {
            otherwise.run();
          }
        });
  }

  public void recordRevision(String key, Revision version) {
    revisions.put(key, version);
  }

  public boolean hasRevision(String key) {
    return revisions.containsKey(key);
  }

  public void forgetRevision(String key) {
    revisions.remove(key);
  }

  /** Asks for a unit to be stored; one of the same name that is not yet on its way is replaced. */
  public void submit(String name, Mutation unit) {
    if (state == State.CLOSED) {
      return;
    }
    pending.put(name, unit);
    submittedAt.putIfAbsent(name, loop.now());
    planFlush(Duration.ZERO);
  }

  /** Asks for a unit to be stored when nothing else waits and the rate leaves room. */
  public void submitWhenIdle(String name, Mutation unit) {
    if (state != State.CLOSED) {
      whenIdle.put(name, unit);
      planFlush(Duration.ZERO);
    }
  }

  public void close() {
    transitionTo(State.CLOSED);
    pending.clear();
    whenIdle.clear();
    submittedAt.clear();
  }

  /** The only place where the journal's state changes; closed is final. */
  private void transitionTo(State next) {
    if (state != State.CLOSED) {
      state = next;
    }
  }

  private void planFlush(Duration delay) {
    if (flushPlanned) {
      return;
    }
    flushPlanned = true;
    Runnable flush =
        () -> {
          flushPlanned = false;
          flush();
        };
    Duration rest = spacing.minus(loop.now().since(sentAt));
    if (rest.compareTo(delay) > 0) {
      loop.after(rest, flush);
    } else if (delay.isZero()) {
      // At the end of the current step, so that what one step changes shares a transaction.
      loop.post(flush);
    } else {
      loop.after(delay, flush);
    }
  }

  private void flush() {
    if (state != State.IDLE) {
      return;
    }
    KeyValueStore.Urgency urgency = KeyValueStore.Urgency.NORMAL;
    Map<String, Mutation> source = pending;
    if (pending.isEmpty()) {
      urgency = KeyValueStore.Urgency.LOW;
      source = whenIdle;
    }
    Map<String, Mutation> taken = new LinkedHashMap<>();
    List<Write> writes = new ArrayList<>();
    int bytes = 0;
    for (String name : inOrder(source)) {
      Mutation unit = source.get(name);
      List<Write> unitWrites = unit.writes();
      if (unitWrites.isEmpty()) {
        source.remove(name);
        submittedAt.remove(name);
        continue;
      }
      int size = unitWrites.stream().mapToInt(TransactionBatcher::estimatedSize).sum();
      boolean full =
          remainingSingles > 0
              || writes.size() + unitWrites.size() > maxOps
              || bytes + size > 48_000;
      if (!writes.isEmpty() && full) {
        break;
      }
      bytes += size;
      writes.addAll(unitWrites);
      taken.put(name, unit);
      source.remove(name);
    }
    if (writes.isEmpty()) {
      return;
    }
    remainingSingles = Math.max(0, remainingSingles - 1);
    sentAt = loop.now();
    transitionTo(State.COMMITTING);
    Map<String, Mutation> from = source;
    store.commit(
        guards(writes), writes, urgency, outcome -> onResult(from, taken, writes, outcome));
  }

  /** Where writes are scarce, what nobody waits for lets the rest pass, but not for ever. */
  private List<String> inOrder(Map<String, Mutation> source) {
    List<String> order = new ArrayList<>();
    List<String> first = new ArrayList<>();
    List<String> later = new ArrayList<>();
    MonotonicTime late = loop.now().minus(PATIENCE);
    source.forEach(
        (name, unit) -> {
          MonotonicTime since = submittedAt.get(name);
          boolean soon = unit.urgent() || since == null || late.isAfter(since);
          boolean ahead = unit.takesPrecedence() && unit.urgent();
          (ahead ? order : soon ? first : later).add(name);
        });
    order.addAll(first);
    order.addAll(later);
    return order;
  }

  /**
   * The service will never take this transaction. Whose fault that is shows when each unit is sent
   * alone; what is refused alone holds up only itself, until it is asked for anew.
   */
  private void onRejected(Map<String, Mutation> from, Map<String, Mutation> taken, String why) {
    transitionTo(State.IDLE);
    if (taken.size() > 1) {
      remainingSingles = taken.size();
      restore(from, taken);
    } else {
      String name = taken.keySet().iterator().next();
      submittedAt.remove(name);
      if (rejected.size() < MAX_NAMED && rejected.add(name)) {
        LOG.error("{} can't be stored: {}", name, why);
      }
      taken.get(name).onRejected();
    }
    planFlush(RETRY);
  }

  /** Units that were asked for anew meanwhile stay as they are: they are newer. */
  private static void restore(Map<String, Mutation> from, Map<String, Mutation> taken) {
    Map<String, Mutation> newer = new LinkedHashMap<>(from);
    from.clear();
    from.putAll(taken);
    from.putAll(newer);
  }

  private static int estimatedSize(Write write) {
    return 200 + write.key().length() + write.value().map(String::length).orElse(0);
  }

  private List<Compare> guards(List<Write> writes) {
    List<Compare> guards = new ArrayList<>();
    guards.add(new Compare(StoreKeys.LEADER, term));
    Set<String> keys = new LinkedHashSet<>();
    writes.forEach(write -> keys.add(write.key()));
    keys.forEach(key -> guards.add(new Compare(key, revisions.getOrDefault(key, new Revision(0)))));
    return guards;
  }

  private void onResult(
      Map<String, Mutation> from,
      Map<String, Mutation> taken,
      List<Write> writes,
      KeyValueStore.CommitResult outcome) {
    if (state == State.CLOSED) {
      return;
    }
    if (outcome instanceof KeyValueStore.CommitResult.Committed committed) {
      for (Write write : writes) {
        if (write.value().isPresent()) {
          revisions.put(write.key(), committed.revision());
        } else {
          revisions.remove(write.key());
        }
      }
      transitionTo(State.IDLE);
      taken.keySet().stream()
          .filter(name -> !pending.containsKey(name))
          .forEach(submittedAt::remove);
      taken.values().forEach(unit -> unit.onCommitted(committed.revision()));
      planFlush(Duration.ZERO);
      return;
    }
    if (outcome instanceof KeyValueStore.CommitResult.Rejected refusal) {
      onRejected(from, taken, refusal.reason());
      return;
    }
    restore(from, taken);
    if (outcome instanceof KeyValueStore.CommitResult.Refused
        || outcome instanceof KeyValueStore.CommitResult.Busy) {
      transitionTo(State.IDLE);
      planFlush(RETRY);
      return;
    }
    LOG.info("transaction of {} writes: {}", writes.size(), outcome.getClass().getSimpleName());
    transitionTo(State.REREADING);
    Set<String> keys = new LinkedHashSet<>();
    keys.add(StoreKeys.LEADER);
    writes.forEach(write -> keys.add(write.key()));
    reread(new ArrayList<>(keys), taken);
  }

  /** After a conflict or silence nothing is known of the keys: read each before writing again. */
  private void reread(List<String> keys, Map<String, Mutation> taken) {
    if (state == State.CLOSED) {
      return;
    }
    if (keys.isEmpty()) {
      transitionTo(State.IDLE);
      planFlush(Duration.ZERO);
      return;
    }
    String key = keys.get(keys.size() - 1);
    store.get(
        key,
        KeyValueStore.Urgency.NORMAL,
        answer -> {
          if (state == State.CLOSED) {
            return;
          }
          if (answer instanceof KeyValueStore.ReadResult.Found<KeyValue> found) {
            if (key.equals(StoreKeys.LEADER) && !found.value().revision().equals(term)) {
              onLost.run();
              return;
            }
            revisions.put(key, found.value().revision());
            taken
                .values()
                .forEach(unit -> unit.onReread(key, java.util.Optional.of(found.value())));
          } else if (answer instanceof KeyValueStore.ReadResult.Absent<KeyValue>) {
            if (key.equals(StoreKeys.LEADER)) {
              onLost.run();
              return;
            }
            revisions.remove(key);
            taken.values().forEach(unit -> unit.onReread(key, java.util.Optional.empty()));
          } else {
            loop.after(RETRY, () -> reread(keys, taken));
            return;
          }
          keys.remove(keys.size() - 1);
          reread(keys, taken);
        });
  }
}
