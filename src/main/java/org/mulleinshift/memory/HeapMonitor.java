package org.mulleinshift.memory;

import java.time.Duration;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the heap within the node's limit: collects garbage before the limit is reached, and reports
 * memory pressure once that no longer helps. Only what remains after a collection counts as
 * pressure; before one it is unknown how much of the heap is reachable.
 */
public final class HeapMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(HeapMonitor.class);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);
  private static final Duration MIN_TIME_BETWEEN_COLLECTIONS = Duration.ofSeconds(2);
  private static final Duration MIN_TIME_BETWEEN_URGENT_COLLECTIONS = Duration.ofMillis(500);

  /** A collection is followed by a pause of at least this many times its duration. */
  private static final int COLLECTION_PAUSE_FACTOR = 20;

  /** Shares of the limit: below this one the pressure is normal. */
  private static final double HIGH_SHARE = 0.70;

  private static final double COLLECT_SHARE = 0.80;
  private static final double CRITICAL_SHARE = 0.85;

  /** From here on a collection doesn't wait for the end of the pause. */
  private static final double URGENT_SHARE = 0.95;

  private static final int MIB_SHIFT = 20;

  private final EventLoop loop;
  private final Heap heap;
  private final long limitBytes;
  private MemoryPressure pressure = MemoryPressure.NORMAL;
  private MonotonicTime nextCollectionAllowedAt;
  private MonotonicTime lastCollectedAt;

  /** A monitor that reports no pressure until it is started. */
  public HeapMonitor(EventLoop loop, Heap heap, long limitBytes) {
    this.loop = loop;
    this.heap = heap;
    this.limitBytes = limitBytes;
    this.nextCollectionAllowedAt = loop.now();
    this.lastCollectedAt = loop.now().minus(MIN_TIME_BETWEEN_COLLECTIONS);
  }

  /** Checks the heap from now on, a few times a second. */
  public void start() {
    loop.after(CHECK_INTERVAL, this::start);
    check();
  }

  /** The pressure by the last check. */
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
