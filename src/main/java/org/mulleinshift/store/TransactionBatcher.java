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
import org.mulleinshift.protocol.StoreCodec.Guard;
import org.mulleinshift.protocol.StoreCodec.Item;
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
  public interface Unit {
    List<Write> writes();

    void committed(Revision revision);

    /** Whether something waits for it to be stored; else it lets such units pass for a while. */
    default boolean pressing() {
      return true;
    }

    /** Whether it goes before all others while something waits for it: few changes for many. */
    default boolean first() {
      return false;
    }

    /** The service will never take the unit in the form that it had; it may be asked for anew. */
    default void unfit() {}

    /** A key's current form after a conflict; the unit may adapt or give up. */
    default void reread(String key, java.util.Optional<Item> item) {}
  }

  private final EventLoop loop;
  private final KeyValueStore store;
  private final Revision term;
  private final int maxOps;
  private final Duration spacing;
  private final Runnable onLost;
  private final Map<String, Revision> versions = new HashMap<>();
  private final Map<String, Unit> dirty = new LinkedHashMap<>();
  private final Map<String, Unit> idle = new LinkedHashMap<>();
  private final Map<String, MonotonicTime> askedAt = new HashMap<>();
  private final Set<String> unfit = new HashSet<>();
  private int alone;
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
  public void ifTermStands(Runnable then, Runnable otherwise) {
    store.commit(
        List.of(new Guard(StoreKeys.LEADER, term)),
        List.of(),
        KeyValueStore.Urgency.PROMPT,
        outcome -> {
          if (outcome instanceof KeyValueStore.Outcome.Committed && state != State.CLOSED) {
            then.run();
          } else {
            otherwise.run();
          }
        });
  }

  public void known(String key, Revision version) {
    versions.put(key, version);
  }

  public boolean knows(String key) {
    return versions.containsKey(key);
  }

  public void forgotten(String key) {
    versions.remove(key);
  }

  /** Asks for a unit to be stored; one of the same name that is not yet on its way is replaced. */
  public void submit(String name, Unit unit) {
    if (state == State.CLOSED) {
      return;
    }
    dirty.put(name, unit);
    askedAt.putIfAbsent(name, loop.now());
    planFlush(Duration.ZERO);
  }

  /** Asks for a unit to be stored when nothing else waits and the rate leaves room. */
  public void submitIdle(String name, Unit unit) {
    if (state != State.CLOSED) {
      idle.put(name, unit);
      planFlush(Duration.ZERO);
    }
  }

  public void close() {
    transitionTo(State.CLOSED);
    dirty.clear();
    idle.clear();
    askedAt.clear();
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
    Map<String, Unit> source = dirty;
    if (dirty.isEmpty()) {
      urgency = KeyValueStore.Urgency.LOW;
      source = idle;
    }
    Map<String, Unit> taken = new LinkedHashMap<>();
    List<Write> writes = new ArrayList<>();
    int bytes = 0;
    for (String name : turns(source)) {
      Unit unit = source.get(name);
      List<Write> unitWrites = unit.writes();
      if (unitWrites.isEmpty()) {
        source.remove(name);
        askedAt.remove(name);
        continue;
      }
      int size = unitWrites.stream().mapToInt(TransactionBatcher::roughSize).sum();
      boolean full =
          alone > 0 || writes.size() + unitWrites.size() > maxOps || bytes + size > 48_000;
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
    alone = Math.max(0, alone - 1);
    sentAt = loop.now();
    transitionTo(State.COMMITTING);
    Map<String, Unit> from = source;
    store.commit(
        guards(writes), writes, urgency, outcome -> finished(from, taken, writes, outcome));
  }

  /** Where writes are scarce, what nobody waits for lets the rest pass, but not for ever. */
  private List<String> turns(Map<String, Unit> source) {
    List<String> order = new ArrayList<>();
    List<String> first = new ArrayList<>();
    List<String> later = new ArrayList<>();
    MonotonicTime late = loop.now().minus(PATIENCE);
    source.forEach(
        (name, unit) -> {
          MonotonicTime since = askedAt.get(name);
          boolean soon = unit.pressing() || since == null || late.isAfter(since);
          boolean ahead = unit.first() && unit.pressing();
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
  private void refusedForGood(Map<String, Unit> from, Map<String, Unit> taken, String why) {
    transitionTo(State.IDLE);
    if (taken.size() > 1) {
      alone = taken.size();
      restore(from, taken);
    } else {
      String name = taken.keySet().iterator().next();
      askedAt.remove(name);
      if (unfit.size() < MAX_NAMED && unfit.add(name)) {
        LOG.error("{} can't be stored: {}", name, why);
      }
      taken.get(name).unfit();
    }
    planFlush(RETRY);
  }

  /** Units that were asked for anew meanwhile stay as they are: they are newer. */
  private static void restore(Map<String, Unit> from, Map<String, Unit> taken) {
    Map<String, Unit> newer = new LinkedHashMap<>(from);
    from.clear();
    from.putAll(taken);
    from.putAll(newer);
  }

  private static int roughSize(Write write) {
    return 200 + write.key().length() + write.value().map(String::length).orElse(0);
  }

  private List<Guard> guards(List<Write> writes) {
    List<Guard> guards = new ArrayList<>();
    guards.add(new Guard(StoreKeys.LEADER, term));
    Set<String> keys = new LinkedHashSet<>();
    writes.forEach(write -> keys.add(write.key()));
    keys.forEach(key -> guards.add(new Guard(key, versions.getOrDefault(key, new Revision(0)))));
    return guards;
  }

  private void finished(
      Map<String, Unit> from,
      Map<String, Unit> taken,
      List<Write> writes,
      KeyValueStore.Outcome outcome) {
    if (state == State.CLOSED) {
      return;
    }
    if (outcome instanceof KeyValueStore.Outcome.Committed committed) {
      for (Write write : writes) {
        if (write.value().isPresent()) {
          versions.put(write.key(), committed.revision());
        } else {
          versions.remove(write.key());
        }
      }
      transitionTo(State.IDLE);
      taken.keySet().stream().filter(name -> !dirty.containsKey(name)).forEach(askedAt::remove);
      taken.values().forEach(unit -> unit.committed(committed.revision()));
      planFlush(Duration.ZERO);
      return;
    }
    if (outcome instanceof KeyValueStore.Outcome.Unfit refusal) {
      refusedForGood(from, taken, refusal.why());
      return;
    }
    restore(from, taken);
    if (outcome instanceof KeyValueStore.Outcome.Refused
        || outcome instanceof KeyValueStore.Outcome.Busy) {
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
  private void reread(List<String> keys, Map<String, Unit> taken) {
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
          if (answer instanceof KeyValueStore.Answer.Found<Item> found) {
            if (key.equals(StoreKeys.LEADER) && !found.value().version().equals(term)) {
              onLost.run();
              return;
            }
            versions.put(key, found.value().version());
            taken.values().forEach(unit -> unit.reread(key, java.util.Optional.of(found.value())));
          } else if (answer instanceof KeyValueStore.Answer.Absent<Item>) {
            if (key.equals(StoreKeys.LEADER)) {
              onLost.run();
              return;
            }
            versions.remove(key);
            taken.values().forEach(unit -> unit.reread(key, java.util.Optional.empty()));
          } else {
            loop.after(RETRY, () -> reread(keys, taken));
            return;
          }
          keys.remove(keys.size() - 1);
          reread(keys, taken);
        });
  }
}
