package org.mulleinshift.model;

import java.time.Duration;
import java.util.Optional;
import org.mulleinshift.transport.MonotonicTime;

/** A provisioned machine in the leader's memory. What is stored of it is in its shard's record. */
public final class Machine {
  /** States of a machine. */
  public enum State {
    /** Provisioned, not yet known to be up. */
    BOOTING,
    /** Takes tasks. */
    UP,
    /** Takes no new task; released when its tasks have ended, unless capacity runs short before. */
    DRAINING,
    /** Is being released; nothing changes that. */
    RELEASING
  }

  private final boolean provisioningObserved;
  private MonotonicTime provisionedAt;
  private MonotonicTime idleSince;
  private boolean ageKnown;
  private Optional<MonotonicTime> surplusSince = Optional.empty();
  private State state;

  private Machine(MonotonicTime provisionedAt, boolean provisioningObserved, State state) {
    this.provisionedAt = provisionedAt;
    this.idleSince = provisionedAt;
    this.provisioningObserved = provisioningObserved;
    this.ageKnown = provisioningObserved;
    this.state = state;
  }

  /** A machine whose provisioning this leader observed from its start. */
  public static Machine provisioned(MonotonicTime at) {
    return new Machine(at, true, State.BOOTING);
  }

  /** A machine that was there before this leader, or that nobody expected. */
  public static Machine discovered(MonotonicTime now, boolean up) {
    return new Machine(now, false, up ? State.UP : State.BOOTING);
  }

  /** The only place where a machine's state changes. */
  private void transitionTo(State next) {
    boolean allowed =
        switch (state) {
          case BOOTING -> next == State.UP || next == State.RELEASING;
          case UP -> next == State.DRAINING || next == State.RELEASING;
          case DRAINING -> next == State.UP || next == State.RELEASING;
          case RELEASING -> false;
        };
    if (!allowed) {
      throw new IllegalStateException(state + " to " + next);
    }
    state = next;
  }

  /** It has come up; returns after how many seconds, if its provisioning was observed. */
  public Optional<Double> onUp(MonotonicTime now) {
    idleSince = now;
    if (state == State.BOOTING) {
      transitionTo(State.UP);
    }
    return provisioningObserved ? Optional.of(now.secondsSince(provisionedAt)) : Optional.empty();
  }

  /** Takes no new task from now on. */
  public void drain() {
    transitionTo(State.DRAINING);
  }

  /** Ends draining: it takes tasks again. */
  public void uncordon() {
    transitionTo(State.UP);
    surplusSince = Optional.empty();
  }

  /** Begins its release; false if it is being released already. */
  public boolean release() {
    if (state == State.RELEASING) {
      return false;
    }
    transitionTo(State.RELEASING);
    return true;
  }

  /** The cloud reported the age of a machine that was found. */
  public void learnAge(MonotonicTime now, Duration age) {
    if (!ageKnown) {
      provisionedAt = now.minus(age);
      ageKnown = true;
    }
  }

  /** It has tasks at this moment. */
  public void markBusy(MonotonicTime now) {
    idleSince = now;
  }

  /**
   * It is surplus capacity at this moment.
   *
   * @return for how many seconds it has been so without a break
   */
  public double markSurplus(MonotonicTime now) {
    if (surplusSince.isEmpty()) {
      surplusSince = Optional.of(now);
    }
    return now.secondsSince(surplusSince.get());
  }

  /** It is not, or no longer, surplus capacity. */
  public void clearSurplus() {
    surplusSince = Optional.empty();
  }

  /** Its state. */
  public State state() {
    return state;
  }

  /** Whether it must take no new task. */
  public boolean cordoned() {
    return state == State.DRAINING || state == State.RELEASING;
  }

  /** When it was provisioned, or found if its age is not known. */
  public MonotonicTime provisionedAt() {
    return provisionedAt;
  }

  /** Seconds since it was provisioned. */
  public double ageSeconds(MonotonicTime now) {
    return now.secondsSince(provisionedAt);
  }

  /** Seconds since it last had tasks, or came up. */
  public double idleSeconds(MonotonicTime now) {
    return now.secondsSince(idleSince);
  }
}
