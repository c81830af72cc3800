package org.mulleinshift.simulation;

import org.mulleinshift.simulation.time.Timeline;

/** A token bucket whose capacity is one second's worth of tokens. */
final class TokenBucket {
  private final Timeline timeline;
  private double ratePerSecond;
  private double tokens;
  private double filledAt;

  TokenBucket(Timeline timeline, double ratePerSecond) {
    this.timeline = timeline;
    this.ratePerSecond = ratePerSecond;
    this.tokens = ratePerSecond;
  }

  void ratePerSecond(double next) {
    ratePerSecond = next;
  }

  /** Takes {@code amount} tokens, or none and returns false if there are not enough. */
  boolean tryTake(double amount) {
    double elapsed = timeline.seconds() - filledAt;
    tokens = Math.min(ratePerSecond, tokens + ratePerSecond * elapsed);
    filledAt = timeline.seconds();
    if (tokens < amount) {
      return false;
    }
    tokens -= amount;
    return true;
  }
}
