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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports every change of the keys with a prefix to a listener: reads all keys once, then watches
 * for changes, and reads all keys again if the store no longer has the changes that it missed.
 */
public final class PrefixWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(PrefixWatcher.class);

  /** States of the watcher. */
  public enum State {
    /** Not started. */
    IDLE,
    /** All keys are being read. */
    READING,
    /** A watch is open, or about to be opened. */
    WATCHING,
    /** A call failed; it is repeated after a delay. */
    BACKING_OFF
  }

  /** Receives every change, in order. */
  public interface Listener {
    /** A key has changed; the item is empty if it was deleted. */
    void onChange(String key, Optional<KeyValue> item);

    /** All changes up to the revision were passed to {@link #onChange}. */
    void onCaughtUp(Revision revision);
  }

  /** Minimum delay after a failed call; random jitter at most doubles it. */
  private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(400);

  private final EventLoop loop;
  private final KeyValueStore store;
  private final String prefix;
  private final Duration minInterval;
  private final Listener listener;
  private final ConfirmationQueue confirmations;
  private final Map<String, Revision> revisions = new HashMap<>();
  private Optional<MonotonicTime> currentAsOf = Optional.empty();
  private boolean initialReadDone;
  private boolean reading;
  private State state = State.IDLE;
  private Revision revision = new Revision(0);

  /** Number of the current step; responses to calls of earlier steps are ignored. */
  private long generation;

  /**
   * Creates a watcher that is not started.
   *
   * @param prefix of the keys to watch
   * @param minInterval minimum time between two watches, and between two confirmations
   */
  public PrefixWatcher(
      EventLoop loop, KeyValueStore store, String prefix, Duration minInterval, Listener listener) {
    this.loop = loop;
    this.store = store;
    this.prefix = prefix;
    this.minInterval = minInterval;
    this.listener = listener;
    this.confirmations = new ConfirmationQueue(loop, minInterval, this::requestConfirmation);
  }

  /** Starts with a read of all keys. */
  public void start() {
    readAllKeys();
  }

  /** Reads all keys again, page by page; the response to a watch that is still open is ignored. */
  public void readAllKeys() {
    reading = true;
    readPage(Optional.empty(), Optional.empty(), new HashSet<>(revisions.keySet()));
  }

  /** The revision of the first page, from which a watch misses no change, and its request time. */
  private record ReadStart(Revision revision, MonotonicTime requestedAt) {}

  private void readPage(
      Optional<String> after, Optional<ReadStart> firstPage, Set<String> unseenKeys) {
    long step = beginStep(State.READING);
    MonotonicTime requestedAt = loop.now();
    store.readPage(
        prefix,
        after,
        result -> {
          if (step != generation) {
            return;
          }
          if (!(result instanceof KeyValueStore.ReadResult.Found<StoreCodec.Range> found)) {
            retryAfterDelay(() -> readPage(after, firstPage, unseenKeys));
            return;
          }
          StoreCodec.Range page = found.value();
          applyPage(page.items(), unseenKeys);
          ReadStart start = firstPage.orElse(new ReadStart(page.revision(), requestedAt));
          if (page.nextPageAfter().isPresent()) {
            readPage(page.nextPageAfter(), Optional.of(start), unseenKeys);
          } else {
            onReadComplete(start, unseenKeys);
            watch();
          }
        });
  }

  /** Passes a page's items to the listener at once, so that no more than a page is in memory. */
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
    initialReadDone = true;
    listener.onCaughtUp(revision);
  }

  /**
   * Calls back with true once every change stored before this call was passed to the listener, or
   * with false if that could not be confirmed. An open watch can't confirm it, since its changes
   * may be delayed. Callers that ask before the request is sent share it, so that many cost one
   * request.
   */
  public void confirmCurrent(Consumer<Boolean> callback) {
    confirmations.add(callback);
  }

  /**
   * Like {@link #confirmCurrent}, but sent even if the rate budget is used up. A success reaches
   * the caller through {@link Listener#onCaughtUp} only.
   */
  public void confirmCurrentUrgently() {
    confirmations.addUrgent();
  }

  private void requestConfirmation(KeyValueStore.Urgency urgency, Consumer<Boolean> callback) {
    if (!initialReadDone) {
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
                  && tryApply(found.value(), requestedAt);
          callback.accept(confirmed);
        });
  }

  private void advanceCurrentAsOf(MonotonicTime requestedAt) {
    currentAsOf =
        Optional.of(currentAsOf.filter(known -> known.isAfter(requestedAt)).orElse(requestedAt));
  }

  /**
   * The time before which every stored change was passed to the listener: the latest send time of
   * the requests whose results were applied. Empty until all keys were read once.
   */
  public Optional<MonotonicTime> currentAsOf() {
    return currentAsOf;
  }

  /** Starts a step and returns its number; responses to calls of earlier steps are ignored. */
  private long beginStep(State next) {
    state = next;
    return ++generation;
  }

  /** The current state. */
  public State state() {
    return state;
  }

  private void retryAfterDelay(Runnable next) {
    long step = beginStep(State.BACKING_OFF);
    Duration delay =
        MIN_RETRY_DELAY.plusMillis((long) (loop.random() * MIN_RETRY_DELAY.toMillis()));
    scheduleIfCurrent(delay, step, next);
  }

  private void scheduleIfCurrent(Duration delay, long step, Runnable next) {
    loop.after(
        delay,
        () -> {
          if (step == generation) {
            next.run();
          }
        });
  }

  private void watch() {
    long step = beginStep(State.WATCHING);
    MonotonicTime openedAt = loop.now();
    store.watch(
        prefix,
        revision,
        result -> {
          if (step != generation) {
            return;
          }
          if (result instanceof KeyValueStore.ReadResult.Found<StoreCodec.Changes> found) {
            apply(found.value(), openedAt);
            scheduleNextWatch(openedAt);
          } else if (result instanceof KeyValueStore.ReadResult.Absent<StoreCodec.Changes>) {
            // The store no longer keeps the changes since this revision, or they are too long.
            readAllKeys();
          } else {
            retryAfterDelay(this::watch);
          }
        });
  }

  /** Waits out the minimum interval, so that changes in quick succession share a response. */
  private void scheduleNextWatch(MonotonicTime openedAt) {
    Duration elapsed = loop.now().since(openedAt);
    if (elapsed.compareTo(minInterval) >= 0) {
      watch();
    } else {
      scheduleIfCurrent(minInterval.minus(elapsed), generation, this::watch);
    }
  }

  /** The revision up to which all changes were passed to the listener. */
  public Revision revision() {
    return revision;
  }

  /**
   * Applies changes since {@link #revision()} that were received by other means than the watch.
   *
   * @param requestedAt when they were requested
   * @return false, without applying them, if all keys were not read yet or are being read again
   */
  public boolean tryApply(StoreCodec.Changes changes, MonotonicTime requestedAt) {
    if (!initialReadDone || reading) {
      return false;
    }
    apply(changes, requestedAt);
    return true;
  }

  private void apply(StoreCodec.Changes changes, MonotonicTime requestedAt) {
    LOG.debug(
        "changes received, prefix={} known={} revision={} changes={} age_ms={}",
        prefix,
        revision,
        changes.revision(),
        changes.changes().size(),
        loop.now().since(requestedAt).toMillis());
    for (StoreCodec.Change change : changes.changes()) {
      if (!isAlreadyApplied(change)) {
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
   * Responses to watches and confirmations may arrive out of order. Changes up to the current
   * revision were passed on already; applying one again could restore a key that was deleted since.
   */
  private boolean isAlreadyApplied(StoreCodec.Change change) {
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
