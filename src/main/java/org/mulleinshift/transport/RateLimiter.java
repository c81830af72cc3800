package org.mulleinshift.transport;

import java.time.Duration;

/** A share of an outside system's rate, with one second's worth of burst. */
public final class RateLimiter {
  private final EventLoop loop;
  private double burst;
  private double perSecond;
  private double tokens;
  private MonotonicTime filledAt;

  public RateLimiter(EventLoop loop, double perSecond) {
    this.loop = loop;
    this.perSecond = perSecond;
    this.burst = Math.max(1, perSecond);
    this.tokens = burst;
    this.filledAt = loop.now();
  }

  /** From now on the share is another one. */
  public void setRate(double next) {
    refill();
    perSecond = next;
    burst = Math.max(1, next);
    tokens = Math.min(burst, tokens);
  }

  /**
   * Takes from the budget if that leaves the reserve untouched. What is more than the budget ever
   * holds is let through when it is full, and borrows: else it would wait for ever.
   */
  public boolean tryAcquire(double amount, double reserve) {
    refill();
    if (tokens < Math.min(amount + reserve, burst)) {
      return false;
    }
    tokens -= amount;
    return true;
  }

  /** For calls that may not wait: they borrow from what comes later. */
  public void acquireOverdraft(double amount) {
    refill();
    tokens -= amount;
  }

  public Duration untilAvailable(double amount, double reserve) {
    refill();
    double missing = amount + reserve - tokens;
    return Duration.ofNanos((long) (Math.max(0.001, missing / perSecond) * 1e9));
  }

  private void refill() {
    MonotonicTime now = loop.now();
    tokens = Math.min(burst, tokens + perSecond * now.secondsSince(filledAt));
    filledAt = now;
  }
}
