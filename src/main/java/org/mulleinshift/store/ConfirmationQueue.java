package org.mulleinshift.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Callers that wait for a confirmation that a {@link PrefixWatcher} is current. Whoever asks before
 * a confirmation is requested shares it, so that many callers cost one request.
 */
final class ConfirmationQueue {
  /** Requests one confirmation from the store. */
  @FunctionalInterface
  interface Requester {
    /**
     * Calls back with true once every change up to now was applied, or with false if that cannot be
     * known now.
     */
    void confirm(KeyValueStore.Urgency urgency, Consumer<Boolean> callback);
  }

  private final EventLoop loop;
  private final Duration minInterval;
  private final Requester requester;
  private List<Consumer<Boolean>> waiting = new ArrayList<>();
  private MonotonicTime lastRequestedAt;
  private boolean requestScheduled;
  private KeyValueStore.Urgency urgency = KeyValueStore.Urgency.NORMAL;

  /**
   * An empty queue.
   *
   * @param minInterval minimum time between two confirmations
   */
  ConfirmationQueue(EventLoop loop, Duration minInterval, Requester requester) {
    this.loop = loop;
    this.minInterval = minInterval;
    this.requester = requester;
    this.lastRequestedAt = loop.now().minus(minInterval);
  }

  /** Adds a caller to the next confirmation. */
  void add(Consumer<Boolean> callback) {
    waiting.add(callback);
    scheduleRequest();
  }

  /** Has the next confirmation requested even if the store's rate is used up. */
  void addUrgent() {
    urgency = KeyValueStore.Urgency.URGENT;
    add(confirmed -> {});
  }

  private void scheduleRequest() {
    if (requestScheduled || waiting.isEmpty()) {
      return;
    }
    requestScheduled = true;
    Duration elapsed = loop.now().since(lastRequestedAt);
    loop.after(
        elapsed.compareTo(minInterval) >= 0 ? Duration.ZERO : minInterval.minus(elapsed),
        this::request);
  }

  private void request() {
    List<Consumer<Boolean>> callers = waiting;
    waiting = new ArrayList<>();
    lastRequestedAt = loop.now();
    KeyValueStore.Urgency requestUrgency = urgency;
    urgency = KeyValueStore.Urgency.NORMAL;
    requester.confirm(requestUrgency, confirmed -> onConfirmation(callers, confirmed));
  }

  private void onConfirmation(List<Consumer<Boolean>> callers, boolean confirmed) {
    callers.forEach(callback -> callback.accept(confirmed));
    requestScheduled = false;
    scheduleRequest();
  }
}
