package org.mulleinshift.transport;

import java.time.Duration;

/**
 * A token bucket that keeps calls within this controller's share of another system's rate limit. It
 * allows bursts of one second's tokens, at least one.
 */
public final class RateLimiter {
  private static final double MIN_WAIT_SECONDS = 0.001;
  private static final double NANOS_PER_SECOND = 1e9;

  private final EventLoop loop;
  private double capacity;
  private double tokensPerSecond;
  private double tokens;
  private MonotonicTime refilledAt;

  /** Creates a full bucket. */
  public RateLimiter(EventLoop loop, double tokensPerSecond) {
    this.loop = loop;
    this.tokensPerSecond = tokensPerSecond;
    this.capacity = Math.max(1, tokensPerSecond);
    this.tokens = capacity;
    this.refilledAt = loop.now();
  }

  /** Changes the rate from now on; tokens beyond the new burst size are lost. */
  public void setRate(double newTokensPerSecond) {
    refill();
    tokensPerSecond = newTokensPerSecond;
    capacity = Math.max(1, newTokensPerSecond);
    tokens = Math.min(capacity, tokens);
  }

  /**
   * Takes tokens if the reserve remains available. If the amount and the reserve together exceed
   * the bucket, a full bucket suffices and may be overdrawn; otherwise the call would wait forever.
   *
   * @param reserve tokens that must remain for more urgent calls
   */
  public boolean tryAcquire(double amount, double reserve) {
    refill();
    if (tokens < Math.min(amount + reserve, capacity)) {
      return false;
    }
    tokens -= amount;
    return true;
  }

  /** Takes tokens without waiting, for urgent calls; may leave the bucket overdrawn. */
  public void acquireOverdraft(double amount) {
    refill();
    tokens -= amount;
  }

  /** The time until the amount is available beyond the reserve; at least 1 ms. */
  public Duration untilAvailable(double amount, double reserve) {
    refill();
    double missing = amount + reserve - tokens;
    return Duration.ofNanos(
        (long) (Math.max(MIN_WAIT_SECONDS, missing / tokensPerSecond) * NANOS_PER_SECOND));
  }

  private void refill() {
    MonotonicTime now = loop.now();
    tokens = Math.min(capacity, tokens + tokensPerSecond * now.secondsSince(refilledAt));
    refilledAt = now;
  }
}
