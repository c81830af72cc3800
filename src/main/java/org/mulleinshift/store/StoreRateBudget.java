package org.mulleinshift.store;

import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.RateLimiter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's budget of the store's request and write rates.
 *
 * <p>Where the settings announce reduced limits, the rates are reduced once, when the store first
 * answers that a rate is exceeded, and are not restored.
 */
final class StoreRateBudget {
  private static final Logger LOG = LoggerFactory.getLogger(StoreRateBudget.class);

  private final KeyValueStore.Rates rates;
  private final RateLimiter requests;
  private final RateLimiter writes;
  private double requestRate;
  private double writeRate;
  private boolean limitsReduced;

  StoreRateBudget(EventLoop loop, KeyValueStore.Rates rates) {
    this.rates = rates;
    this.requestRate = rates.requestsPerSecond();
    this.writeRate = rates.writesPerSecond();
    this.requests = new RateLimiter(loop, requestRate);
    this.writes = new RateLimiter(loop, writeRate);
  }

  /** Takes one request; false if that would use the reserve kept for more urgent calls. */
  boolean tryAcquireRequest(KeyValueStore.Urgency urgency) {
    if (urgency == KeyValueStore.Urgency.URGENT) {
      acquireRequest();
      return true;
    }
    return requests.tryAcquire(1, urgency.reserveFraction() * requestRate);
  }

  /** Takes one request even if the rate is used up; the overdraft delays later ones. */
  void acquireRequest() {
    requests.acquireOverdraft(1);
  }

  /** Takes that many writes; false if that would use the reserve kept for more urgent calls. */
  boolean tryAcquireWrites(int count, KeyValueStore.Urgency urgency) {
    if (urgency == KeyValueStore.Urgency.URGENT) {
      writes.acquireOverdraft(count);
      return true;
    }
    return writes.tryAcquire(count, urgency.reserveFraction() * writeRate);
  }

  /** Sets this node's share of the write rate, given for the limits before any reduction. */
  void setWriteRate(double writesPerSecond) {
    writeRate = writesPerSecond * (limitsReduced ? rates.writesShareAfterReduction() : 1);
    writes.setRate(writeRate);
  }

  /**
   * Handles the store's answer that a rate is exceeded: takes the first one as the reduction of its
   * limits that the settings announce, if they do.
   */
  void onRateLimited() {
    boolean reductionExpected =
        rates.requestsShareAfterReduction() < 1 || rates.writesShareAfterReduction() < 1;
    if (limitsReduced || !reductionExpected) {
      return;
    }
    limitsReduced = true;
    writeRate *= rates.writesShareAfterReduction();
    requestRate *= rates.requestsShareAfterReduction();
    LOG.info("store rate reduced, requests={} writes={}", requestRate, writeRate);
    writes.setRate(writeRate);
    requests.setRate(requestRate);
  }
}
