package org.mulleinshift.memory;

import java.time.Duration;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the heap inside what the node has: frees what is unreachable before the limit is met, and
 * tells how short of memory the node is once that no longer helps. Only what is left after a
 * collection counts as pressure; before one, nobody knows how much of it is needed.
 */
public final class HeapMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(HeapMonitor.class);
  private static final Duration EVERY = Duration.ofMillis(250);
  private static final Duration MIN_PAUSE = Duration.ofSeconds(2);
  private static final Duration PRESSING_PAUSE = Duration.ofMillis(500);

  /** A collection takes at most this part of the time: one in so many. */
  private static final int TIME_SHARE = 20;

  private static final double TIGHT = 0.70;
  private static final double COLLECT = 0.80;
  private static final double SCARCE = 0.85;
  private static final double PRESSING = 0.95;

  private final EventLoop loop;
  private final Heap heap;
  private final long limit;
  private MemoryPressure pressure = MemoryPressure.NORMAL;
  private MonotonicTime mayCollectAt;
  private MonotonicTime collectedAt;

  public HeapMonitor(EventLoop loop, Heap heap, long limitBytes) {
    this.loop = loop;
    this.heap = heap;
    this.limit = limitBytes;
    this.mayCollectAt = loop.now();
    this.collectedAt = loop.now().minus(MIN_PAUSE);
  }

  /** Looks at the heap from now on, a few times a second. */
  public void start() {
    loop.after(EVERY, this::start);
    check();
  }

  public MemoryPressure pressure() {
    return pressure;
  }

  private void check() {
    long used = heap.used();
    if (used < TIGHT * limit) {
      transitionTo(MemoryPressure.NORMAL, used);
      return;
    }
    MonotonicTime now = loop.now();
    boolean due = used >= COLLECT * limit && !mayCollectAt.isAfter(now);
    boolean pressing =
        used >= PRESSING * limit && now.since(collectedAt).compareTo(PRESSING_PAUSE) >= 0;
    if (!due && !pressing) {
      return;
    }
    heap.collect();
    collectedAt = loop.now();
    Duration rest = collectedAt.since(now).multipliedBy(TIME_SHARE);
    mayCollectAt = collectedAt.plus(rest.compareTo(MIN_PAUSE) > 0 ? rest : MIN_PAUSE);
    long left = heap.used();
    transitionTo(
        left >= SCARCE * limit
            ? MemoryPressure.CRITICAL
            : left >= TIGHT * limit ? MemoryPressure.HIGH : MemoryPressure.NORMAL,
        left);
  }

  /** The only place where the pressure changes. */
  private void transitionTo(MemoryPressure next, long used) {
    if (next != pressure) {
      LOG.warn("memory {} -> {}: {} of {} MiB in use", pressure, next, used >> 20, limit >> 20);
      pressure = next;
    }
  }
}
