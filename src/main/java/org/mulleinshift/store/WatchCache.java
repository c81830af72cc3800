package org.mulleinshift.store;

import java.time.Duration;
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
    /** Not started. */
    IDLE,
    /** All keys are being read. */
    READING,
    /** A watch is open, or about to be opened. */
    WATCHING,
    /** A call failed; it is repeated after a pause. */
    PAUSED
  }

  /** Receives every change, in order. */
  public interface Listener {
    /** A key has changed; empty if it was deleted. */
    void onChange(String key, Optional<KeyValue> item);

    /** All changes up to the revision were passed to {@link #onChange}. */
    void onCaughtUp(Revision revision);
  }

  /** Minimum pause after a failed call; the maximum is twice as long. */
  private static final Duration PAUSE = Duration.ofMillis(400);

  private final EventLoop loop;
  private final KeyValueStore store;
  private final String prefix;
  private final Duration spacing;
  private final Listener listener;
  private final ConfirmationQueue confirmations;
  private final Map<String, Revision> revisions = new HashMap<>();
  private Optional<MonotonicTime> currentAsOf = Optional.empty();
  private boolean complete;
  private boolean reading;
  private State state = State.IDLE;
  private Revision revision = new Revision(0);

  /** Counts the steps of following; the answer to an earlier step's call is ignored. */
  private long generation;

  /**
   * A cache that has not started.
   *
   * @param prefix of the keys to follow
   * @param spacing minimum time between two watches, and between two confirmations
   */
  public WatchCache(
      EventLoop loop, KeyValueStore store, String prefix, Duration spacing, Listener listener) {
    this.loop = loop;
    this.store = store;
    this.prefix = prefix;
    this.spacing = spacing;
    this.listener = listener;
    this.confirmations = new ConfirmationQueue(loop, spacing, this::requestConfirmation);
  }

  /** Begins to follow the keys. */
  public void start() {
    read();
  }

  /** Reads everything again, a page at a time; what an open watch still brings is ignored. */
  public void read() {
    reading = true;
    readPage(Optional.empty(), Optional.empty(), new HashSet<>(revisions.keySet()));
  }

  /** From where a watch misses nothing, and when the read that shows that was requested. */
  private record ReadStart(Revision revision, MonotonicTime requestedAt) {}

  private void readPage(
      Optional<String> after, Optional<ReadStart> firstPage, Set<String> unseenKeys) {
    long current = enter(State.READING);
    MonotonicTime requestedAt = loop.now();
    store.readPage(
        prefix,
        after,
        result -> {
          if (current != generation) {
            return;
          }
          if (!(result instanceof KeyValueStore.ReadResult.Found<StoreCodec.Range> found)) {
            pause(() -> readPage(after, firstPage, unseenKeys));
            return;
          }
          StoreCodec.Range page = found.value();
          applyPage(page.items(), unseenKeys);
          // The oldest page's revision: a watch from there misses nothing.
          ReadStart start = firstPage.orElse(new ReadStart(page.revision(), requestedAt));
          if (page.nextPageAfter().isPresent()) {
            readPage(page.nextPageAfter(), Optional.of(start), unseenKeys);
          } else {
            onReadComplete(start, unseenKeys);
            watch();
          }
        });
  }

  /** What is parsed is passed on at once, so that no more than a page is kept in memory. */
  private void applyPage(List<KeyValue> items, Set<String> unseenKeys) {
    for (KeyValue item : items) {
      unseenKeys.remove(item.key());
      if (!item.revision().equals(revisions.put(item.key(), item.revision()))) {
        listener.onChange(item.key(), Optional.of(item));
      }
    }
  }

  private void onReadComplete(ReadStart start, Set<String> deletedKeys) {
    for (String key : deletedKeys) {
      revisions.remove(key);
      listener.onChange(key, Optional.empty());
    }
    revision = start.revision();
    advanceCurrentAsOf(start.requestedAt());
    reading = false;
    complete = true;
    listener.onCaughtUp(revision);
  }

  /**
   * Calls back once every change up to this moment was passed to the listener, or with false if
   * that cannot be known now. A watch does not confirm it, its changes may be delayed. Callers that
   * ask before a confirmation is requested share it, so that many of them cost one request.
   */
  public void confirmCurrent(Consumer<Boolean> callback) {
    confirmations.add(callback);
  }

  /**
   * The same for a caller that can't wait for the store's rate; the result is passed to the
   * listener.
   */
  public void confirmCurrentUrgently() {
    confirmations.addUrgent();
  }

  private void requestConfirmation(KeyValueStore.Urgency urgency, Consumer<Boolean> callback) {
    if (!complete) {
      callback.accept(false);
      return;
    }
    MonotonicTime requestedAt = loop.now();
    store.readChanges(
        prefix,
        revision,
        urgency,
        result -> {
          boolean confirmed =
              result instanceof KeyValueStore.ReadResult.Found<StoreCodec.Changes> found
                  && offer(found.value(), requestedAt);
          callback.accept(confirmed);
        });
  }

  private void advanceCurrentAsOf(MonotonicTime requestedAt) {
    currentAsOf =
        Optional.of(currentAsOf.filter(known -> known.isAfter(requestedAt)).orElse(requestedAt));
  }

  /**
   * Every change stored before this moment was passed to the listener: it is when a request was
   * sent that was answered since. Empty before all keys were read.
   */
  public Optional<MonotonicTime> currentAsOf() {
    return currentAsOf;
  }

  /** Starts the next step; answers to calls of earlier steps are ignored from now on. */
  private long enter(State next) {
    state = next;
    return ++generation;
  }

  /** What the cache does at present. */
  public State state() {
    return state;
  }

  private void pause(Runnable next) {
    long current = enter(State.PAUSED);
    Duration jittered = PAUSE.plusMillis((long) (loop.random() * PAUSE.toMillis()));
    afterIfCurrent(jittered, current, next);
  }

  private void afterIfCurrent(Duration delay, long current, Runnable next) {
    loop.after(
        delay,
        () -> {
          if (current == generation) {
            next.run();
          }
        });
  }

  private void watch() {
    long current = enter(State.WATCHING);
    MonotonicTime openedAt = loop.now();
    store.watch(
        prefix,
        revision,
        result -> {
          if (current != generation) {
            return;
          }
          if (result instanceof KeyValueStore.ReadResult.Found<StoreCodec.Changes> found) {
            apply(found.value(), openedAt);
            watchAgain(openedAt);
          } else if (result instanceof KeyValueStore.ReadResult.Absent<StoreCodec.Changes>) {
            // The store no longer keeps the changes since our revision.
            read();
          } else {
            pause(this::watch);
          }
        });
  }

  /** Changes that follow each other closely share an answer. */
  private void watchAgain(MonotonicTime openedAt) {
    Duration elapsed = loop.now().since(openedAt);
    if (elapsed.compareTo(spacing) >= 0) {
      watch();
    } else {
      afterIfCurrent(spacing.minus(elapsed), generation, this::watch);
    }
  }

  /** The revision up to which the keys are known. */
  public Revision revision() {
    return revision;
  }

  /**
   * Applies changes since {@link #revision()} that were received by other means.
   *
   * @param requestedAt when they were requested
   * @return false if they can't be applied now
   */
  public boolean offer(StoreCodec.Changes changes, MonotonicTime requestedAt) {
    if (!complete || reading) {
      return false;
    }
    apply(changes, requestedAt);
    return true;
  }

  private void apply(StoreCodec.Changes changes, MonotonicTime requestedAt) {
    for (StoreCodec.Change change : changes.changes()) {
      if (!isKnown(change)) {
        apply(change);
      }
    }
    if (changes.revision().compareTo(revision) > 0) {
      revision = changes.revision();
    }
    advanceCurrentAsOf(requestedAt);
    listener.onCaughtUp(revision);
  }

  /**
   * Answers to watches and confirmations cross: what lies before our revision was passed on
   * already, and a key that was deleted since must not come back by it.
   */
  private boolean isKnown(StoreCodec.Change change) {
    Revision known = revisions.getOrDefault(change.key(), revision);
    return known.compareTo(change.revision()) >= 0 || revision.compareTo(change.revision()) >= 0;
  }

  private void apply(StoreCodec.Change change) {
    if (change.value().isPresent()) {
      revisions.put(change.key(), change.revision());
      listener.onChange(
          change.key(),
          Optional.of(new KeyValue(change.key(), change.value().get(), change.revision())));
    } else if (revisions.remove(change.key()) != null) {
      listener.onChange(change.key(), Optional.empty());
    }
  }
}
