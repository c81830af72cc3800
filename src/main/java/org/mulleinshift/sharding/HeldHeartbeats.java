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
 * Heartbeats whose responses are held back until it is known which controller should respond. A
 * worker that is redirected retries there at once. One that is turned away without a redirect waits
 * a second before it tries the next controller, and loses several seconds if that one can't respond
 * to it either.
 */
final class HeldHeartbeats {
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(100);
  private static final int MAX_HEARTBEATS = 512;

  /** Limit for all held heartbeats together: a single one may report thousands of tasks. */
  private static final int MAX_TASKS = 16_384;

  /**
   * A heartbeat that has not been responded to.
   *
   * @param arrivedAt when it arrived at this controller
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
   * Creates an empty set.
   *
   * @param tryRespond responds if it is known which controller should; returns whether it responded
   * @param maxHoldTime the longest time for which a heartbeat may be held
   * @param respondUnresolved responds although it is not known which controller should
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

  /**
   * Holds the heartbeat until {@code tryRespond} succeeds or its maximum hold time has passed. If
   * too many heartbeats or tasks are held already, responds at once.
   */
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

  /** Tries to respond to each held heartbeat, and ends the wait of those held for too long. */
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
