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
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);
  private static final int MAX_HEARTBEATS = 512;

  /** A heartbeat may report thousands of tasks. */
  private static final int MAX_TASKS = 16_384;

  /**
   * A heartbeat and the way to respond to it.
   *
   * @param arrivedAt when it arrived here
   */
  record Held(WorkerHeartbeat heartbeat, Responder responder, MonotonicTime arrivedAt) {}

  private final EventLoop loop;
  private final Predicate<Held> settle;
  private final Function<Held, Duration> limit;
  private final Consumer<Held> giveUp;
  private final List<Held> held = new ArrayList<>();
  private int tasks;

  /**
   * Nothing is held.
   *
   * @param settle responds if it is known by now who should answer; returns whether it is
   * @param limit for how long it may be held at the most
   * @param giveUp responds although it is not known
   */
  HeldHeartbeats(
      EventLoop loop,
      Predicate<Held> settle,
      Function<Held, Duration> limit,
      Consumer<Held> giveUp) {
    this.loop = loop;
    this.settle = settle;
    this.limit = limit;
    this.giveUp = giveUp;
  }

  /** Holds the heartbeat until it can be settled, or for a limited time. */
  void hold(Held next) {
    int more = next.heartbeat().tasks().size();
    if (held.size() >= MAX_HEARTBEATS || tasks + more > MAX_TASKS) {
      giveUp.accept(next);
      return;
    }
    if (held.isEmpty()) {
      loop.after(CHECK_INTERVAL, this::tick);
    }
    held.add(next);
    tasks += more;
  }

  /** Something has changed on which it depends who should answer. */
  void review() {
    Iterator<Held> each = held.iterator();
    while (each.hasNext()) {
      Held next = each.next();
      if (isDone(next)) {
        each.remove();
        tasks -= next.heartbeat().tasks().size();
      }
    }
  }

  private boolean isDone(Held next) {
    if (settle.test(next)) {
      return true;
    }
    boolean expired = loop.now().since(next.arrivedAt()).compareTo(limit.apply(next)) >= 0;
    if (expired) {
      giveUp.accept(next);
    }
    return expired;
  }

  private void tick() {
    review();
    if (!held.isEmpty()) {
      loop.after(CHECK_INTERVAL, this::tick);
    }
  }
}
