package org.mulleinshift.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Callers that wait for a confirmation that a {@link WatchCache} is current. Whoever asks before a
 * confirmation is requested shares it, so that many callers cost one request.
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
  private final Duration spacing;
  private final Requester requester;
  private List<Consumer<Boolean>> waiting = new ArrayList<>();
  private MonotonicTime requestedAt;
  private boolean requestPlanned;
  private KeyValueStore.Urgency urgency = KeyValueStore.Urgency.NORMAL;

  /**
   * An empty queue.
   *
   * @param spacing minimum time between two confirmations
   */
  ConfirmationQueue(EventLoop loop, Duration spacing, Requester requester) {
    this.loop = loop;
    this.spacing = spacing;
    this.requester = requester;
    this.requestedAt = loop.now().minus(spacing);
  }

  /** Adds a caller to the next confirmation. */
  void add(Consumer<Boolean> callback) {
    waiting.add(callback);
    planRequest();
  }

  /** Has the next confirmation requested even if the store's rate is used up. */
  void addUrgent() {
    urgency = KeyValueStore.Urgency.URGENT;
    add(confirmed -> {});
  }

  private void planRequest() {
    if (requestPlanned || waiting.isEmpty()) {
      return;
    }
    requestPlanned = true;
    Duration elapsed = loop.now().since(requestedAt);
    loop.after(
        elapsed.compareTo(spacing) >= 0 ? Duration.ZERO : spacing.minus(elapsed), this::request);
  }

  private void request() {
    List<Consumer<Boolean>> callers = waiting;
    waiting = new ArrayList<>();
    requestedAt = loop.now();
    KeyValueStore.Urgency next = urgency;
    urgency = KeyValueStore.Urgency.NORMAL;
    requester.confirm(next, confirmed -> onConfirmation(callers, confirmed));
  }

  private void onConfirmation(List<Consumer<Boolean>> callers, boolean confirmed) {
    callers.forEach(callback -> callback.accept(confirmed));
    requestPlanned = false;
    planRequest();
  }
}
