package org.mulleinshift.transport;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** An event loop whose steps run only when the test takes them, like a loop that lags behind. */
public final class ManualEventLoop implements EventLoop {
  private static final long TIMEOUT_SECONDS = 20;

  private final BlockingQueue<Runnable> steps = new LinkedBlockingQueue<>();

  /** Removes and returns the next step; waits for one to be posted and fails after 20 seconds. */
  public Runnable takeStep() throws InterruptedException {
    Runnable step = steps.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(step, "no step was posted");
    return step;
  }

  @Override
  public void post(Runnable step) {
    steps.add(step);
  }

  @Override
  public Timer after(Duration delay, Runnable step) {
    throw new UnsupportedOperationException();
  }

  @Override
  public MonotonicTime now() {
    return new MonotonicTime(0);
  }

  @Override
  public long wallMillis() {
    return 0;
  }

  @Override
  public double random() {
    return 0;
  }

  @Override
  public void onProcessPause(Consumer<Duration> listener) {
    throw new UnsupportedOperationException();
  }
}
