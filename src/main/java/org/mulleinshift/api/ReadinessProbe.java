package org.mulleinshift.api;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpStatus;
import org.mulleinshift.transport.Responder;

/**
 * Answers the load balancer's health checks. While the process starts, a check waits for a moment
 * until it is ready: two failed checks keep the node out of use for seconds, though it could serve
 * a moment later. The answer is always the state at the moment of answering.
 */
public final class ReadinessProbe {
  /** In total well below the load balancer's timeout of a second. */
  private static final Duration RECHECK_INTERVAL = Duration.ofMillis(50);

  private static final int MAX_RECHECKS = 14;
  private static final int MAX_WAITING_CHECKS = 8;
  private static final String EMPTY_BODY = "{}";

  private final EventLoop loop;
  private final BooleanSupplier ready;
  private boolean hasBeenReady;
  private int waitingChecks;

  /**
   * A probe of a process that starts.
   *
   * @param ready whether the node can take requests now
   */
  public ReadinessProbe(EventLoop loop, BooleanSupplier ready) {
    this.loop = loop;
    this.ready = ready;
  }

  /** Responds with 200 if the node can take requests, else with 503. */
  public void respond(Responder responder) {
    if (isStarting() && waitingChecks < MAX_WAITING_CHECKS) {
      waitingChecks++;
      loop.after(RECHECK_INTERVAL, () -> recheck(responder, MAX_RECHECKS - 1));
    } else {
      writeStatus(responder);
    }
  }

  private void recheck(Responder responder, int remainingRechecks) {
    if (isStarting() && remainingRechecks > 0) {
      loop.after(RECHECK_INTERVAL, () -> recheck(responder, remainingRechecks - 1));
    } else {
      waitingChecks--;
      writeStatus(responder);
    }
  }

  private boolean isStarting() {
    return !ready.getAsBoolean() && !hasBeenReady;
  }

  private void writeStatus(Responder responder) {
    boolean readyNow = ready.getAsBoolean();
    hasBeenReady |= readyNow;
    responder.respond(readyNow ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE, EMPTY_BODY);
  }
}
