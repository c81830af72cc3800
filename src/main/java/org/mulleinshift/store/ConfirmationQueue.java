package org.mulleinshift.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Callers that wait for confirmation that a {@link PrefixWatcher} is current. All callers that are
 * added before the next request is sent share its result, so that many callers cost one request.
 */
final class ConfirmationQueue {
  /** Requests one confirmation from the store. */
  @FunctionalInterface
  interface Requester {
    /**
     * Calls back with true once every change stored before this call was applied, or with false if
     * the store did not confirm that.
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
   * Creates an empty queue.
   *
   * @param minInterval minimum time between two confirmations
   */
  ConfirmationQueue(EventLoop loop, Duration minInterval, Requester requester) {
    this.loop = loop;
    this.minInterval = minInterval;
    this.requester = requester;
    this.lastRequestedAt = loop.now().minus(minInterval);
  }

  /** Calls back with the result of the next confirmation to be requested. */
  void add(Consumer<Boolean> callback) {
    waiting.add(callback);
    scheduleRequest();
  }

  /** Requests the next confirmation even if the rate budget is used up. */
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
