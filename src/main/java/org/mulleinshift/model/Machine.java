package org.mulleinshift.model;

import java.time.Duration;
import java.util.Optional;
import org.mulleinshift.transport.MonotonicTime;

/** A rented machine in the leader's memory. What is stored of it is its shard's record. */
public final class Machine {
  /** States of a machine. */
  public enum State {
    /** Rented, not yet known to be up. */
    BOOTING,
    /** Takes tasks. */
    UP,
    /** Takes no new task; goes back when its tasks have ended, unless room runs short before. */
    DRAINING,
    /** Is being given back; nothing changes that. */
    RETURNING
  }

  private final boolean provisioningObserved;
  private MonotonicTime provisionedAt;
  private MonotonicTime idleSince;
  private boolean ageKnown;
  private Optional<MonotonicTime> surplusSince = Optional.empty();
  private State state;

  private Machine(MonotonicTime rentedAt, boolean rentSeen, State state) {
    this.provisionedAt = rentedAt;
    this.idleSince = rentedAt;
    this.provisioningObserved = rentSeen;
    this.ageKnown = rentSeen;
    this.state = state;
  }

  /** A machine whose rental this leader saw from its start. */
  public static Machine provisioned(MonotonicTime at) {
    return new Machine(at, true, State.BOOTING);
  }

  /** A machine that was there before this leader, or that nobody expected. */
  public static Machine found(MonotonicTime now, boolean up) {
    return new Machine(now, false, up ? State.UP : State.BOOTING);
  }

  /** The only place where a machine's state changes. */
  private void transitionTo(State next) {
    boolean allowed =
        switch (state) {
          case BOOTING -> next == State.UP || next == State.RETURNING;
          case UP -> next == State.DRAINING || next == State.RETURNING;
          case DRAINING -> next == State.UP || next == State.RETURNING;
          case RETURNING -> false;
        };
    if (!allowed) {
      throw new IllegalStateException(state + " to " + next);
    }
    state = next;
  }

  /** It has come up; tells how long that took, if its rental was seen. */
  public Optional<Double> onUp(MonotonicTime now) {
    idleSince = now;
    if (state == State.BOOTING) {
      transitionTo(State.UP);
    }
    return provisioningObserved ? Optional.of(now.secondsSince(provisionedAt)) : Optional.empty();
  }

  public void drain() {
    transitionTo(State.DRAINING);
  }

  public void reopen() {
    transitionTo(State.UP);
    surplusSince = Optional.empty();
  }

  /** False if it is being returned already. */
  public boolean release() {
    if (state == State.RETURNING) {
      return false;
    }
    transitionTo(State.RETURNING);
    return true;
  }

  /** The cloud's list tells the age of a machine that was found. */
  public void learnAge(MonotonicTime now, Duration age) {
    if (!ageKnown) {
      provisionedAt = now.minus(age);
      ageKnown = true;
    }
  }

  public void markBusy(MonotonicTime now) {
    idleSince = now;
  }

  /** Notes whether the fleet could do without it; tells for how long that has been so. */
  public double surplusFor(boolean isSpare, MonotonicTime now) {
    if (!isSpare) {
      surplusSince = Optional.empty();
      return 0;
    }
    if (surplusSince.isEmpty()) {
      surplusSince = Optional.of(now);
    }
    return now.secondsSince(surplusSince.get());
  }

  public State state() {
    return state;
  }

  /** Must take no new task. */
  public boolean cordoned() {
    return state == State.DRAINING || state == State.RETURNING;
  }

  public MonotonicTime provisionedAt() {
    return provisionedAt;
  }

  public double heldSeconds(MonotonicTime now) {
    return now.secondsSince(provisionedAt);
  }

  public double idleSeconds(MonotonicTime now) {
    return now.secondsSince(idleSince);
  }
}
