package org.mulleinshift.transport;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An event loop on the calling thread with real clocks. */
public final class ThreadEventLoop implements EventLoop {
  private static final long MAX_MICROS = 60_000_000;
  private static final long DESCRIBE_NANOS = 60_000_000_000L;
  private static final Duration PAUSE_THRESHOLD = Duration.ofSeconds(2);
  private static final Logger LOG = LoggerFactory.getLogger(ThreadEventLoop.class);

  private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
  private final PriorityQueue<Pending> timers = new PriorityQueue<>();
  private final SplittableRandom random = new SplittableRandom();
  private final Histogram turns = new Histogram(MAX_MICROS, 2);
  private long describedAt = System.nanoTime();
  private long sequence;
  private Consumer<Duration> onStandstill = gap -> {};

  @Override
  public void post(Runnable step) {
    queue.add(step);
  }

  @Override
  public Timer after(Duration delay, Runnable step) {
    Pending pending = new Pending(now().plus(delay), sequence++, step);
    timers.add(pending);
    return pending;
  }

  @Override
  public void onProcessPause(Consumer<Duration> listener) {
    onStandstill = listener;
  }

  @Override
  public MonotonicTime now() {
    return new MonotonicTime(System.nanoTime());
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public double random() {
    return random.nextDouble();
  }

  /** Runs until the process ends. */
  public void run() throws InterruptedException {
    List<Runnable> batch = new ArrayList<>();
    MonotonicTime turnedAt = now();
    while (true) {
      turnedAt = detectProcessPause(turnedAt);
      runDueTimers();
      Runnable first = awaitStep();
      if (first != null) {
        batch.add(first);
        queue.drainTo(batch, 63);
        batch.forEach(this::runGuarded);
        batch.clear();
      }
    }
  }

  /** There are timers all the time, so a turn never takes this long unless the process stood. */
  private MonotonicTime detectProcessPause(MonotonicTime turnedAt) {
    MonotonicTime now = now();
    Duration gap = now.since(turnedAt);
    if (gap.compareTo(PAUSE_THRESHOLD) > 0) {
      runGuarded(() -> onStandstill.accept(gap));
    }
    return now;
  }

  private Runnable awaitStep() throws InterruptedException {
    Pending next = timers.peek();
    if (next == null) {
      return queue.take();
    }
    long wait = next.due.nanos() - now().nanos();
    return wait <= 0 ? queue.poll() : queue.poll(wait, TimeUnit.NANOSECONDS);
  }

  private void runDueTimers() {
    MonotonicTime now = now();
    while (!timers.isEmpty() && !timers.peek().due.isAfter(now)) {
      Pending pending = timers.poll();
      if (!pending.cancelled) {
        runGuarded(pending.step);
      }
    }
  }

  /** One failing step must not end the process: the state stays owned by this thread. */
  private void runGuarded(Runnable step) {
    long began = System.nanoTime();
    try {
      step.run();
    } catch (RuntimeException e) {
      LOG.error("step failed", e);
    }
    long ended = System.nanoTime();
    turns.recordValue(Math.min(MAX_MICROS, Math.max(0, (ended - began) / 1000)));
    if (ended - describedAt >= DESCRIBE_NANOS) {
      describe(ended);
    }
  }

  /** A step that takes long endangers renewals, acceptance and the workers' reports. */
  private void describe(long now) {
    LOG.info(
        "{} steps: 99% within {} ms, longest {} ms",
        turns.getTotalCount(),
        turns.getValueAtPercentile(99) / 1000.0,
        turns.getMaxValue() / 1000.0);
    turns.reset();
    describedAt = now;
  }

  private static final class Pending implements Timer, Comparable<Pending> {
    private final MonotonicTime due;
    private final long sequence;
    private final Runnable step;
    private boolean cancelled;

    Pending(MonotonicTime due, long sequence, Runnable step) {
      this.due = due;
      this.sequence = sequence;
      this.step = step;
    }

    @Override
    public void cancel() {
      cancelled = true;
    }

    @Override
    public int compareTo(Pending other) {
      int byTime = due.compareTo(other.due);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
