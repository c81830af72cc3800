package org.mulleinshift.model;

import java.util.Optional;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/**
 * One attempt of one task, assigned to a shard. It counts against its team's quota from the moment
 * it is decided until its end is stored.
 */
public final class TaskAssignment {
  /** Steps of an assignment. */
  public enum State {
    /** Decided, not stored; it must not be published to the owner yet. */
    WRITING,
    /** Stored; the owner may place it. */
    STORED,
    /** The owner reported its machine. */
    PLACED,
    /** It runs. */
    RUNNING,
    /** It has ended at the owner; the end is not stored yet. */
    ENDED
  }

  private final TaskId task;
  private final Resources resources;
  private final ShardId shard;
  private final ZoneId zone;
  private final Attempt attempt;
  private State state;
  private Optional<MachineId> machine = Optional.empty();
  private Optional<MonotonicTime> runningSince = Optional.empty();
  private boolean stopRequested;
  private Revision storedRevision = new Revision(0);

  TaskAssignment(
      TaskId task, Resources resources, ShardId shard, ZoneId zone, Attempt attempt, State state) {
    this.task = task;
    this.resources = resources;
    this.shard = shard;
    this.zone = zone;
    this.attempt = attempt;
    this.state = state;
  }

  /** The only place where the state changes; an ended assignment stays ended. */
  private void transitionTo(State next) {
    if (state != State.ENDED) {
      state = next;
    }
  }

  /** It is stored: only now may it be published. */
  void markStored(Revision revision) {
    if (state == State.WRITING) {
      storedRevision = revision;
      transitionTo(State.STORED);
    }
  }

  /** Its owner has placed it on a machine. */
  public void markPlaced(MachineId placedOn) {
    machine = Optional.of(placedOn);
    if (state == State.STORED) {
      transitionTo(State.PLACED);
    }
  }

  /** It runs on a machine. */
  public void markRunning(MachineId placedOn, MonotonicTime since) {
    machine = Optional.of(placedOn);
    if (runningSince.isEmpty()) {
      runningSince = Optional.of(since);
    }
    transitionTo(State.RUNNING);
  }

  /** It has ended; the end is to be stored. */
  void markEnded() {
    transitionTo(State.ENDED);
  }

  /** A new owner has not found it yet: its machine is unknown again. */
  public void clearPlacement() {
    machine = Optional.empty();
    if (state == State.PLACED || state == State.RUNNING) {
      transitionTo(State.STORED);
    }
  }

  /** Has its owner stop it. */
  public void requestStop() {
    stopRequested = true;
  }

  /** The task. */
  public TaskId task() {
    return task;
  }

  /** The resources that it requests of its machine. */
  public Resources perTask() {
    return resources;
  }

  /** The shard that it is assigned to. */
  public ShardId shard() {
    return shard;
  }

  /** The zone of the shard. */
  public ZoneId zone() {
    return zone;
  }

  /** The attempt, which identifies it among those of the task. */
  public Attempt attempt() {
    return attempt;
  }

  /** Its state. */
  public State state() {
    return state;
  }

  /** Its machine, once the owner has reported one. */
  public Optional<MachineId> machine() {
    return machine;
  }

  /** Since when it runs, once the owner has reported that. */
  public Optional<MonotonicTime> runningSince() {
    return runningSince;
  }

  /** Whether its owner is to stop it. */
  public boolean stopRequested() {
    return stopRequested;
  }

  /** The revision at which this was stored; 0 if an earlier leader did it. */
  public Revision storedAt() {
    return storedRevision;
  }

  /** Whether the owner knows it, or may know it soon. */
  public boolean mayBeKnownToOwner() {
    return state != State.WRITING;
  }
}
