package org.mulleinshift.memory;

import java.time.Duration;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the heap within the node's limit: collects garbage before the limit is reached, and reports
 * memory pressure if that doesn't free enough. Pressure is raised only after a collection: before
 * it, it is unknown how much of the heap is reachable.
 */
public final class HeapMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(HeapMonitor.class);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);
  private static final Duration MIN_TIME_BETWEEN_COLLECTIONS = Duration.ofSeconds(2);
  private static final Duration MIN_TIME_BETWEEN_URGENT_COLLECTIONS = Duration.ofMillis(500);

  /** After a collection the next one waits at least this many times as long as it took. */
  private static final int COLLECTION_PAUSE_FACTOR = 20;

  /** Below this share of the limit the pressure is {@link MemoryPressure#NORMAL}. */
  private static final double HIGH_SHARE = 0.70;

  private static final double COLLECT_SHARE = 0.80;
  private static final double CRITICAL_SHARE = 0.85;

  /** From this share on, a collection doesn't wait for the end of that pause. */
  private static final double URGENT_SHARE = 0.95;

  private static final int MIB_SHIFT = 20;

  private final EventLoop loop;
  private final Heap heap;
  private final long limitBytes;
  private MemoryPressure pressure = MemoryPressure.NORMAL;
  private MonotonicTime nextCollectionAllowedAt;
  private MonotonicTime lastCollectedAt;

  /** Creates a monitor that reports {@link MemoryPressure#NORMAL} until it is started. */
  public HeapMonitor(EventLoop loop, Heap heap, long limitBytes) {
    this.loop = loop;
    this.heap = heap;
    this.limitBytes = limitBytes;
    this.nextCollectionAllowedAt = loop.now();
    this.lastCollectedAt = loop.now().minus(MIN_TIME_BETWEEN_COLLECTIONS);
  }

  /** Starts the periodic check of the heap. */
  public void start() {
    loop.after(CHECK_INTERVAL, this::start);
    check();
  }

  /** Returns the memory pressure that the last check found. */
  public MemoryPressure pressure() {
    return pressure;
  }

  private void check() {
    long usedBytes = heap.usedBytes();
    if (usedBytes < HIGH_SHARE * limitBytes) {
      transitionTo(MemoryPressure.NORMAL, usedBytes);
      return;
    }
    MonotonicTime now = loop.now();
    boolean due = usedBytes >= COLLECT_SHARE * limitBytes && !nextCollectionAllowedAt.isAfter(now);
    boolean urgent =
        usedBytes >= URGENT_SHARE * limitBytes
            && now.since(lastCollectedAt).compareTo(MIN_TIME_BETWEEN_URGENT_COLLECTIONS) >= 0;
    if (!due && !urgent) {
      return;
    }
    heap.collect();
    lastCollectedAt = loop.now();
    Duration pause = lastCollectedAt.since(now).multipliedBy(COLLECTION_PAUSE_FACTOR);
    nextCollectionAllowedAt =
        lastCollectedAt.plus(
            pause.compareTo(MIN_TIME_BETWEEN_COLLECTIONS) > 0
                ? pause
                : MIN_TIME_BETWEEN_COLLECTIONS);
    long remainingBytes = heap.usedBytes();
    transitionTo(pressureOf(remainingBytes), remainingBytes);
  }

  private MemoryPressure pressureOf(long usedBytes) {
    if (usedBytes >= CRITICAL_SHARE * limitBytes) {
      return MemoryPressure.CRITICAL;
    }
    return usedBytes >= HIGH_SHARE * limitBytes ? MemoryPressure.HIGH : MemoryPressure.NORMAL;
  }

  /** The only place where the pressure changes. */
  private void transitionTo(MemoryPressure next, long usedBytes) {
    if (next != pressure) {
      LOG.warn(
          "memory pressure changed, from={} to={} used_mib={} limit_mib={}",
          pressure,
          next,
          usedBytes >> MIB_SHIFT,
          limitBytes >> MIB_SHIFT);
      pressure = next;
    }
  }
}
