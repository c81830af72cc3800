package org.mulleinshift.api;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpStatus;
import org.mulleinshift.transport.Responder;

/**
 * Responds to the load balancer's health checks. While the process starts, the response is delayed
 * until the node is ready or the rechecks are used up: two failed checks would take the node out of
 * rotation for seconds, although it might be ready a moment later. The response always reflects the
 * state at the moment at which it is written.
 */
public final class ReadinessProbe {
  /** All rechecks together take 0.7 s, well below the load balancer's timeout of 1 s. */
  private static final Duration RECHECK_INTERVAL = Duration.ofMillis(50);

  private static final int MAX_RECHECKS = 14;
  private static final int MAX_WAITING_CHECKS = 8;
  private static final String EMPTY_BODY = "{}";

  private final EventLoop loop;
  private final BooleanSupplier ready;
  private boolean hasBeenReady;
  private int waitingChecks;

  /**
   * Creates a probe of a process that is starting.
   *
   * @param ready whether the node can take requests now
   */
  public ReadinessProbe(EventLoop loop, BooleanSupplier ready) {
    this.loop = loop;
    this.ready = ready;
  }

  /** Responds with 200 if the node can take requests, else with 503; possibly after a delay. */
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
