package org.mulleinshift.sharding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.mulleinshift.protocol.WorkerHeartbeat;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.mulleinshift.transport.Responder;

/**
 * Heartbeats whose response waits until it is known who should answer them. A worker that is told
 * so goes there at once; one that is sent on without an answer loses a second, and several if it
 * meets a controller that can't answer it.
 */
final class HeldHeartbeats {
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(100);
  private static final int MAX_HEARTBEATS = 512;

  /** A heartbeat may report thousands of tasks. */
  private static final int MAX_TASKS = 16_384;

  /**
   * A heartbeat and the way to respond to it.
   *
   * @param arrivedAt when it arrived here
   */
  record PendingHeartbeat(
      WorkerHeartbeat heartbeat, Responder responder, MonotonicTime arrivedAt) {}

  private final EventLoop loop;
  private final Predicate<PendingHeartbeat> tryRespond;
  private final Function<PendingHeartbeat, Duration> maxHoldTime;
  private final Consumer<PendingHeartbeat> respondUnresolved;
  private final List<PendingHeartbeat> held = new ArrayList<>();
  private int heldTasks;

  /**
   * Nothing is held.
   *
   * @param tryRespond responds if it is known by now who should answer; returns whether it is
   * @param maxHoldTime for how long it may be held at the most
   * @param respondUnresolved responds although it is not known
   */
  HeldHeartbeats(
      EventLoop loop,
      Predicate<PendingHeartbeat> tryRespond,
      Function<PendingHeartbeat, Duration> maxHoldTime,
      Consumer<PendingHeartbeat> respondUnresolved) {
    this.loop = loop;
    this.tryRespond = tryRespond;
    this.maxHoldTime = maxHoldTime;
    this.respondUnresolved = respondUnresolved;
  }

  /** Holds the heartbeat until it can be settled, or for a limited time. */
  void hold(PendingHeartbeat pending) {
    int taskCount = pending.heartbeat().tasks().size();
    if (held.size() >= MAX_HEARTBEATS || heldTasks + taskCount > MAX_TASKS) {
      respondUnresolved.accept(pending);
      return;
    }
    if (held.isEmpty()) {
      loop.after(RETRY_INTERVAL, this::retryPeriodically);
    }
    held.add(pending);
    heldTasks += taskCount;
  }

  /** Something has changed on which it depends who should answer. */
  void retryAll() {
    Iterator<PendingHeartbeat> iterator = held.iterator();
    while (iterator.hasNext()) {
      PendingHeartbeat pending = iterator.next();
      if (respondOrExpire(pending)) {
        iterator.remove();
        heldTasks -= pending.heartbeat().tasks().size();
      }
    }
  }

  private boolean respondOrExpire(PendingHeartbeat pending) {
    if (tryRespond.test(pending)) {
      return true;
    }
    boolean expired =
        loop.now().since(pending.arrivedAt()).compareTo(maxHoldTime.apply(pending)) >= 0;
    if (expired) {
      respondUnresolved.accept(pending);
    }
    return expired;
  }

  private void retryPeriodically() {
    retryAll();
    if (!held.isEmpty()) {
      loop.after(RETRY_INTERVAL, this::retryPeriodically);
    }
  }
}
