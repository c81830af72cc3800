package org.mulleinshift.transport;

import java.time.Duration;

/** A token bucket for a share of another system's rate limit, with bursts of one second's worth. */
public final class RateLimiter {
  private static final double MIN_WAIT_SECONDS = 0.001;
  private static final double NANOS_PER_SECOND = 1e9;

  private final EventLoop loop;
  private double capacity;
  private double tokensPerSecond;
  private double tokens;
  private MonotonicTime refilledAt;

  /** A full bucket. */
  public RateLimiter(EventLoop loop, double tokensPerSecond) {
    this.loop = loop;
    this.tokensPerSecond = tokensPerSecond;
    this.capacity = Math.max(1, tokensPerSecond);
    this.tokens = capacity;
    this.refilledAt = loop.now();
  }

  /** Changes the rate from now on. */
  public void setRate(double newTokensPerSecond) {
    refill();
    tokensPerSecond = newTokensPerSecond;
    capacity = Math.max(1, newTokensPerSecond);
    tokens = Math.min(capacity, tokens);
  }

  /**
   * Takes tokens if that leaves the reserve untouched. An amount that is larger than the bucket is
   * admitted when the bucket is full, and overdraws it: else it would wait for ever.
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

  /** Takes tokens for a call that must not wait; the bucket may be overdrawn. */
  public void acquireOverdraft(double amount) {
    refill();
    tokens -= amount;
  }

  /** How long it takes until an amount beyond the reserve will be there. */
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
