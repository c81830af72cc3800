package org.mulleinshift.api;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.Responder;

/**
 * Answers the load balancer's probes. One that meets a process which is about to be ready waits for
 * that: two that fail keep the node out of use for seconds, though it serves again a moment later.
 * What it hears is true.
 */
public final class ReadinessProbe {
  /** How long a probe waits for a process that starts: well below the prober's second. */
  private static final Duration STEP = Duration.ofMillis(50);

  private static final int STEPS = 14;
  private static final int MAX_WAITING = 8;
  private static final int READY = 200;
  private static final int NOT_READY = 503;

  private final EventLoop loop;
  private final BooleanSupplier ready;
  private boolean hasBeenReady;
  private int waiting;

  /**
   * A page of readiness.
   *
   * @param ready whether the node can take requests now
   */
  public ReadinessProbe(EventLoop loop, BooleanSupplier ready) {
    this.loop = loop;
    this.ready = ready;
  }

  public void answer(Responder responder) {
    if (!ready.getAsBoolean() && !hasBeenReady && waiting < MAX_WAITING) {
      waiting++;
      loop.after(STEP, () -> await(responder, STEPS - 1));
    } else {
      tell(responder);
    }
  }

  private void await(Responder responder, int steps) {
    if (!ready.getAsBoolean() && !hasBeenReady && steps > 0) {
      loop.after(STEP, () -> await(responder, steps - 1));
    } else {
      waiting--;
      tell(responder);
    }
  }

  private void tell(Responder responder) {
    boolean now = ready.getAsBoolean();
    hasBeenReady |= now;
    responder.respond(now ? READY : NOT_READY, "{}");
  }
}
