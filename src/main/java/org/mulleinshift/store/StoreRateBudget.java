package org.mulleinshift.store;

import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.RateLimiter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node's budget of the store's request and write rates.
 *
 * <p>The rates are reduced once, when the store first answers that a rate is exceeded, and never
 * rise again.
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

  /** Takes one request; false if the urgency does not justify sending it now. */
  boolean tryAcquireRequest(KeyValueStore.Urgency urgency) {
    if (urgency == KeyValueStore.Urgency.URGENT) {
      acquireRequest();
      return true;
    }
    return requests.tryAcquire(1, urgency.reserveFraction() * requestRate);
  }

  /** Takes one request in any case; later ones wait the longer. */
  void acquireRequest() {
    requests.acquireOverdraft(1);
  }

  /** Takes that many writes; false if the urgency does not justify sending them now. */
  boolean tryAcquireWrites(int count, KeyValueStore.Urgency urgency) {
    if (urgency == KeyValueStore.Urgency.URGENT) {
      writes.acquireOverdraft(count);
      return true;
    }
    return writes.tryAcquire(count, urgency.reserveFraction() * writeRate);
  }

  /** Sets this node's share of the write rate, given for the store's initial limits. */
  void setWriteRate(double writesPerSecond) {
    writeRate = writesPerSecond * (limitsReduced ? rates.writesShareAfterReduction() : 1);
    writes.setRate(writeRate);
  }

  /** The store answered that a rate is exceeded: its limits may have been reduced. */
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
