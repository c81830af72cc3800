package org.mulleinshift.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/** Follows all keys with a prefix: reads them once, then watches, and reads again when it must. */
public final class WatchCache {
  /** The states of following. */
  public enum State {
    IDLE,
    READING,
    WATCHING,
    PAUSED
  }

  /** Hears of every change, in order. An empty value: the key is gone. */
  public interface Listener {
    void onChange(String key, Optional<KeyValue> item);

    /** All changes known so far were told. */
    void onCaughtUp(Revision revision);
  }

  private static final Duration PAUSE = Duration.ofMillis(400);

  private final EventLoop loop;
  private final KeyValueStore store;
  private final String prefix;
  private final Duration spacing;
  private final Listener listener;
  private final Map<String, Revision> revisions = new HashMap<>();
  private List<Consumer<Boolean>> awaitingConfirmation = new ArrayList<>();
  private MonotonicTime confirmedAt;
  private Optional<MonotonicTime> currentAsOf = Optional.empty();
  private boolean confirming;
  private boolean urgently;
  private boolean complete;
  private boolean reading;
  private State state = State.IDLE;
  private Revision revision = new Revision(0);
  private long round;

  public WatchCache(
      EventLoop loop, KeyValueStore store, String prefix, Duration spacing, Listener listener) {
    this.loop = loop;
    this.store = store;
    this.prefix = prefix;
    this.spacing = spacing;
    this.listener = listener;
    this.confirmedAt = loop.now().minus(spacing);
  }

  public void start() {
    read();
  }

  /** Reads everything again, a page at a time; what an open watch still brings is ignored. */
  public void read() {
    reading = true;
    readPage(Optional.empty(), Optional.empty(), new HashSet<>(revisions.keySet()));
  }

  /** From where a watch misses nothing, and when the reading that shows that was asked for. */
  private record ReadStart(Revision revision, MonotonicTime requestedAt) {}

  private void readPage(Optional<String> after, Optional<ReadStart> first, Set<String> unseen) {
    long mine = enter(State.READING);
    MonotonicTime asked = loop.now();
    store.readPage(
        prefix,
        after,
        answer -> {
          if (mine != round) {
            return;
          }
          if (!(answer instanceof KeyValueStore.ReadResult.Found<StoreCodec.Range> found)) {
            pause(() -> readPage(after, first, unseen));
            return;
          }
          StoreCodec.Range page = found.value();
          take(page.items(), unseen);
          // The oldest page's revision: a watch from there misses nothing.
          ReadStart from = first.orElse(new ReadStart(page.revision(), asked));
          if (page.next().isPresent()) {
            readPage(page.next(), Optional.of(from), unseen);
          } else {
            readToEnd(from, unseen);
            watch();
          }
        });
  }

  /** What is parsed is handed on at once, so that no more than a page is held. */
  private void take(List<KeyValue> items, Set<String> unseen) {
    for (KeyValue item : items) {
      unseen.remove(item.key());
      if (!item.revision().equals(revisions.put(item.key(), item.revision()))) {
        listener.onChange(item.key(), Optional.of(item));
      }
    }
  }

  private void readToEnd(ReadStart from, Set<String> gone) {
    for (String key : gone) {
      revisions.remove(key);
      listener.onChange(key, Optional.empty());
    }
    revision = from.revision();
    advanceCurrentAsOf(from.requestedAt());
    reading = false;
    complete = true;
    listener.onCaughtUp(revision);
  }

  /**
   * Calls back once every change up to this moment was told, or with false if that cannot be known
   * now. A watch does not prove it, its news may be held back. Whoever asks before a proof is sent
   * shares it, so that many questions cost one request.
   */
  public void confirmCurrent(Consumer<Boolean> then) {
    awaitingConfirmation.add(then);
    scheduleConfirmation();
  }

  /** The same for one who can't wait for room at the state service's rate; tells the listener. */
  public void confirmCurrentUrgently() {
    urgently = true;
    confirmCurrent(known -> {});
  }

  private void advanceCurrentAsOf(MonotonicTime asked) {
    currentAsOf = Optional.of(currentAsOf.filter(known -> known.isAfter(asked)).orElse(asked));
  }

  /**
   * Every change stored before this moment was told to the listener: it is when a question was sent
   * that was answered since. None before all keys were read.
   */
  public Optional<MonotonicTime> currentAsOf() {
    return currentAsOf;
  }

  private void scheduleConfirmation() {
    if (confirming || awaitingConfirmation.isEmpty()) {
      return;
    }
    confirming = true;
    Duration since = loop.now().since(confirmedAt);
    loop.after(
        since.compareTo(spacing) >= 0 ? Duration.ZERO : spacing.minus(since),
        this::sendConfirmation);
  }

  private void sendConfirmation() {
    List<Consumer<Boolean>> asking = awaitingConfirmation;
    awaitingConfirmation = new ArrayList<>();
    MonotonicTime asked = loop.now();
    confirmedAt = asked;
    KeyValueStore.Urgency urgency =
        urgently ? KeyValueStore.Urgency.URGENT : KeyValueStore.Urgency.NORMAL;
    urgently = false;
    if (!complete) {
      onConfirmation(asking, false);
      return;
    }
    store.readChanges(
        prefix,
        revision,
        urgency,
        answer -> {
          boolean found =
              !reading && answer instanceof KeyValueStore.ReadResult.Found<StoreCodec.Changes>;
          if (found) {
            apply(((KeyValueStore.ReadResult.Found<StoreCodec.Changes>) answer).value(), asked);
          }
          onConfirmation(asking, found);
        });
  }

  private void onConfirmation(List<Consumer<Boolean>> asking, boolean known) {
    asking.forEach(then -> then.accept(known));
    confirming = false;
    scheduleConfirmation();
  }

  private long enter(State next) {
    state = next;
    return ++round;
  }

  public State state() {
    return state;
  }

  private void pause(Runnable next) {
    long mine = enter(State.PAUSED);
    Duration spread = PAUSE.plusMillis((long) (loop.random() * PAUSE.toMillis()));
    loop.after(
        spread,
        () -> {
          if (mine == round) {
            next.run();
          }
        });
  }

  private void watch() {
    long mine = enter(State.WATCHING);
    MonotonicTime opened = loop.now();
    store.watch(
        prefix,
        revision,
        answer -> {
          if (mine != round) {
            return;
          }
          if (answer instanceof KeyValueStore.ReadResult.Found<StoreCodec.Changes> found) {
            apply(found.value(), opened);
            watchAgain(opened);
          } else if (answer instanceof KeyValueStore.ReadResult.Absent<StoreCodec.Changes>) {
            // 410: the service no longer keeps the changes since our revision.
            read();
          } else {
            pause(this::watch);
          }
        });
  }

  /** Changes that follow each other closely share an answer. */
  private void watchAgain(MonotonicTime opened) {
    Duration since = loop.now().since(opened);
    if (since.compareTo(spacing) >= 0) {
      watch();
      return;
    }
    long mine = round;
    loop.after(
        spacing.minus(since),
        () -> {
          if (mine == round) {
            watch();
          }
        });
  }

  /** Up to where the keys are known. */
  public Revision revision() {
    return revision;
  }

  /**
   * Changes since {@link #revision()} that came another way; false if they can't be taken now.
   *
   * @param requestedAt when they were asked for
   */
  public boolean take(StoreCodec.Changes seen, MonotonicTime asked) {
    if (!complete || reading) {
      return false;
    }
    apply(seen, asked);
    return true;
  }

  private void apply(StoreCodec.Changes seen, MonotonicTime asked) {
    for (StoreCodec.Change change : seen.changes()) {
      // Answers to watches and proofs cross: what lies before our revision was told already, and a
      // key that is gone since must not come back by it.
      Revision known = revisions.getOrDefault(change.key(), revision);
      if (known.compareTo(change.revision()) >= 0 || revision.compareTo(change.revision()) >= 0) {
        continue;
      }
      if (change.value().isPresent()) {
        revisions.put(change.key(), change.revision());
        listener.onChange(
            change.key(),
            Optional.of(new KeyValue(change.key(), change.value().get(), change.revision())));
      } else if (revisions.remove(change.key()) != null) {
        listener.onChange(change.key(), Optional.empty());
      }
    }
    if (seen.revision().compareTo(revision) > 0) {
      revision = seen.revision();
    }
    advanceCurrentAsOf(asked);
    listener.onCaughtUp(revision);
  }
}
