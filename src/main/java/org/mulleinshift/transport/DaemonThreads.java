package org.mulleinshift.transport;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Creates daemon threads for blocking I/O. They have small stacks and do not keep the process
 * alive.
 */
final class DaemonThreads {
  private static final int STACK_BYTES = 192 * 1024;
  private static final int KEEP_ALIVE_SECONDS = 30;

  private DaemonThreads() {}

  /** A thread that is not started yet. */
  static Thread create(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, STACK_BYTES);
    thread.setDaemon(true);
    return thread;
  }

  /** A fixed-size pool with a bounded queue; it rejects tasks while the queue is full. */
  static ThreadPoolExecutor pool(String name, int threadCount, int queueLength) {
    return new ThreadPoolExecutor(
        threadCount,
        threadCount,
        KEEP_ALIVE_SECONDS,
        TimeUnit.SECONDS,
        new LinkedBlockingQueue<>(queueLength),
        body -> create(name, body));
  }
}
