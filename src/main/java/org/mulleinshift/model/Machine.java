package org.mulleinshift.model;

import java.time.Duration;
import java.util.Optional;
import org.mulleinshift.transport.MonotonicTime;

/** A provisioned machine in the leader's memory. Its stored data is part of its shard's record. */
public final class Machine {
  /** States of a machine. */
  public enum State {
    /** Provisioned, but not yet known to be up. */
    BOOTING,
    /** Accepts new tasks. */
    UP,
    /**
     * Accepts no new tasks; released once its tasks have ended, unless a capacity shortage makes it
     * accept tasks again before.
     */
    DRAINING,
    /** Being released; this is the final state. */
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

  /** Creates a machine that this leader provisioned. */
  public static Machine provisioned(MonotonicTime at) {
    return new Machine(at, true, State.BOOTING);
  }

  /** Creates a machine that was provisioned before this leader's term or is unexpected. */
  public static Machine discovered(MonotonicTime now, boolean up) {
    return new Machine(now, false, up ? State.UP : State.BOOTING);
  }

  /** Changes the state; all state changes go through this method. */
  private void transitionTo(State next) {
    boolean allowed =
        switch (state) {
          case BOOTING -> next == State.UP || next == State.RELEASING;
          case UP -> next == State.DRAINING || next == State.RELEASING;
          case DRAINING -> next == State.UP || next == State.RELEASING;
          case RELEASING -> false;
        };
    if (!allowed) {
      throw new IllegalStateException(
          "machine: invalid state transition from " + state + " to " + next);
    }
    state = next;
  }

  /**
   * Records that the machine has come up.
   *
   * @return seconds since it was provisioned; empty if this leader did not provision it
   */
  public Optional<Double> onUp(MonotonicTime now) {
    idleSince = now;
    if (state == State.BOOTING) {
      transitionTo(State.UP);
    }
    return provisioningObserved ? Optional.of(now.secondsSince(provisionedAt)) : Optional.empty();
  }

  /** Starts draining: it accepts no new tasks. */
  public void drain() {
    transitionTo(State.DRAINING);
  }

  /** Ends draining: it accepts tasks again. */
  public void uncordon() {
    transitionTo(State.UP);
    surplusSince = Optional.empty();
  }

  /** Begins its release; returns false if it is already being released. */
  public boolean release() {
    if (state == State.RELEASING) {
      return false;
    }
    transitionTo(State.RELEASING);
    return true;
  }

  /** Sets the age that the cloud reported, if the age is not known yet. */
  public void learnAge(MonotonicTime now, Duration age) {
    if (!ageKnown) {
      provisionedAt = now.minus(age);
      ageKnown = true;
    }
  }

  /** Records that it has tasks now. */
  public void markBusy(MonotonicTime now) {
    idleSince = now;
  }

  /**
   * Records that it is surplus capacity now.
   *
   * @return for how many seconds it has been so without interruption
   */
  public double markSurplus(MonotonicTime now) {
    if (surplusSince.isEmpty()) {
      surplusSince = Optional.of(now);
    }
    return now.secondsSince(surplusSince.get());
  }

  /** Records that it is not surplus capacity now. */
  public void clearSurplus() {
    surplusSince = Optional.empty();
  }

  /** Returns its current state. */
  public State state() {
    return state;
  }

  /** Whether it accepts no new tasks because it is draining or being released. */
  public boolean cordoned() {
    return state == State.DRAINING || state == State.RELEASING;
  }

  /** Returns when it was provisioned, or when it was discovered if its age is not known. */
  public MonotonicTime provisionedAt() {
    return provisionedAt;
  }

  /** Returns the seconds since {@link #provisionedAt}. */
  public double ageSeconds(MonotonicTime now) {
    return now.secondsSince(provisionedAt);
  }

  /** Returns the seconds since it last had tasks or came up. */
  public double idleSeconds(MonotonicTime now) {
    return now.secondsSince(idleSince);
  }
}
