package org.mulleinshift.simulation;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.mulleinshift.simulation.time.Timeline;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;

/**
 * Delivers direct messages to workers a second time, late, after the worker has carried them out
 * and answered. Nobody waits for the answer to a copy.
 */
public final class DelayedCommandCopies {
  private static final String COMMANDS_PATH = "/orders";

  /** Delivers a request to the worker that has the address by then, if there is one. */
  @FunctionalInterface
  interface Delivery {
    void deliver(InetSocketAddress worker, HttpRequest request, Consumer<HttpResponse> reply);
  }

  private final Timeline timeline;
  private final Delivery delivery;
  private double copyUntil;
  private double copiedShare;
  private double minDelaySeconds;
  private double maxDelaySeconds;

  /** Creates an instance that copies nothing until the fault is started. */
  DelayedCommandCopies(Timeline timeline, Delivery delivery) {
    this.timeline = timeline;
    this.delivery = delivery;
  }

  /**
   * For {@code seconds}, a random {@code share} of the messages that a worker carries out arrives
   * once more, after a random delay of {@code minDelay} to {@code maxDelay} seconds.
   */
  public void copyDuring(double seconds, double share, double minDelay, double maxDelay) {
    copyUntil = timeline.seconds() + seconds;
    copiedShare = share;
    minDelaySeconds = minDelay;
    maxDelaySeconds = maxDelay;
  }

  /** Called for every answer of a worker to a direct request. */
  void onAnswered(InetSocketAddress worker, HttpRequest request, HttpResponse response) {
    boolean carriedOut = request.path().equals(COMMANDS_PATH) && response.status() == HttpStatus.OK;
    if (carriedOut && timeline.seconds() < copyUntil && timeline.random() < copiedShare) {
      double delay = minDelaySeconds + (maxDelaySeconds - minDelaySeconds) * timeline.random();
      timeline.after(delay, () -> delivery.deliver(worker, request, reply -> {}));
    }
  }
}
