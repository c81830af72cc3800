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

/** An event loop that runs on the calling thread and uses the system clocks. */
public final class ThreadEventLoop implements EventLoop {
  private static final long MAX_STEP_MICROS = 60_000_000;
  private static final int HISTOGRAM_DIGITS = 2;
  private static final double LOGGED_PERCENTILE = 99;
  private static final long LOG_INTERVAL_NANOS = 60_000_000_000L;
  private static final int NANOS_PER_MICRO = 1000;
  private static final double MICROS_PER_MILLI = 1000.0;

  /** Number of steps, after the first one, that run before timers are checked again. */
  private static final int MAX_FURTHER_STEPS = 63;

  private static final Duration PAUSE_THRESHOLD = Duration.ofSeconds(2);
  private static final Logger LOG = LoggerFactory.getLogger(ThreadEventLoop.class);

  private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
  private final PriorityQueue<PendingTimer> timers = new PriorityQueue<>();
  private final SplittableRandom random = new SplittableRandom();
  private final Histogram stepMicros = new Histogram(MAX_STEP_MICROS, HISTOGRAM_DIGITS);
  private long loggedAtNanos = System.nanoTime();
  private long sequence;
  private Consumer<Duration> pauseListener = pause -> {};

  @Override
  public void post(Runnable step) {
    queue.add(step);
  }

  @Override
  public Timer after(Duration delay, Runnable step) {
    PendingTimer timer = new PendingTimer(now().plus(delay), sequence++, step);
    timers.add(timer);
    return timer;
  }

  @Override
  public void onProcessPause(Consumer<Duration> listener) {
    pauseListener = listener;
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

  /** Runs the loop until the process ends or the thread is interrupted. */
  public void run() throws InterruptedException {
    List<Runnable> batch = new ArrayList<>();
    MonotonicTime iterationStartedAt = now();
    while (true) {
      iterationStartedAt = detectProcessPause(iterationStartedAt);
      runDueTimers();
      Runnable first = awaitStep();
      if (first != null) {
        batch.add(first);
        queue.drainTo(batch, MAX_FURTHER_STEPS);
        batch.forEach(this::runGuarded);
        batch.clear();
      }
    }
  }

  /**
   * Reports a pause if the previous iteration took longer than the threshold. Timers are always
   * pending, so waiting for a step is short, and a long iteration means that the process was paused
   * (or that a step took as long).
   */
  private MonotonicTime detectProcessPause(MonotonicTime iterationStartedAt) {
    MonotonicTime now = now();
    Duration pause = now.since(iterationStartedAt);
    if (pause.compareTo(PAUSE_THRESHOLD) > 0) {
      runGuarded(() -> pauseListener.accept(pause));
    }
    return now;
  }

  /** Waits for a posted step; returns null if a timer is due first. */
  private Runnable awaitStep() throws InterruptedException {
    PendingTimer next = timers.peek();
    if (next == null) {
      return queue.take();
    }
    long waitNanos = next.due.nanos() - now().nanos();
    return waitNanos <= 0 ? queue.poll() : queue.poll(waitNanos, TimeUnit.NANOSECONDS);
  }

  private void runDueTimers() {
    MonotonicTime now = now();
    while (!timers.isEmpty() && !timers.peek().due.isAfter(now)) {
      PendingTimer timer = timers.poll();
      if (!timer.cancelled) {
        runGuarded(timer.step);
      }
    }
  }

  /**
   * Runs a step and records its duration. Exceptions are logged: a failing step must not end the
   * thread, which owns all state.
   */
  private void runGuarded(Runnable step) {
    long startedAt = System.nanoTime();
    try {
      step.run();
    } catch (RuntimeException e) {
      LOG.error("event loop step failed", e);
    }
    long endedAt = System.nanoTime();
    long micros = Math.max(0, (endedAt - startedAt) / NANOS_PER_MICRO);
    stepMicros.recordValue(Math.min(MAX_STEP_MICROS, micros));
    if (endedAt - loggedAtNanos >= LOG_INTERVAL_NANOS) {
      logStepDurations(endedAt);
    }
  }

  /** Logs step durations: slow steps delay lease renewals, submissions and worker heartbeats. */
  private void logStepDurations(long now) {
    LOG.info(
        "event loop steps, count={} p99_ms={} max_ms={}",
        stepMicros.getTotalCount(),
        stepMicros.getValueAtPercentile(LOGGED_PERCENTILE) / MICROS_PER_MILLI,
        stepMicros.getMaxValue() / MICROS_PER_MILLI);
    stepMicros.reset();
    loggedAtNanos = now;
  }

  private static final class PendingTimer implements Timer, Comparable<PendingTimer> {
    private final MonotonicTime due;
    private final long sequence;
    private final Runnable step;
    private boolean cancelled;

    PendingTimer(MonotonicTime due, long sequence, Runnable step) {
      this.due = due;
      this.sequence = sequence;
      this.step = step;
    }

    @Override
    public void cancel() {
      cancelled = true;
    }

    @Override
    public int compareTo(PendingTimer other) {
      int byTime = due.compareTo(other.due);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
