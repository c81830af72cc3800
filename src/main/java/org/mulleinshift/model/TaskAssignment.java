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
 * One try of one task, entrusted to a shard. It counts against its team from the moment it is
 * decided until its end is stored.
 */
public final class TaskAssignment {
  /** Steps of a assignment. */
  public enum State {
    /** Decided, not stored; the owner must not hear of it yet. */
    WRITING,
    /** Stored; the owner may place it. */
    STORED,
    /** The owner named its machine. */
    PLACED,
    /** It runs. */
    RUNNING,
    /** It is over at the owner; the end is not stored yet. */
    ENDED
  }

  private final TaskId task;
  private final Resources perTask;
  private final ShardId shard;
  private final ZoneId zone;
  private final Attempt attempt;
  private State state;
  private Optional<MachineId> machine = Optional.empty();
  private Optional<MonotonicTime> runningSince = Optional.empty();
  private boolean stop;
  private Revision storedAt = new Revision(0);

  TaskAssignment(
      TaskId task, Resources perTask, ShardId shard, ZoneId zone, Attempt attempt, State state) {
    this.task = task;
    this.perTask = perTask;
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

  void markStored(Revision revision) {
    if (state == State.WRITING) {
      storedAt = revision;
      transitionTo(State.STORED);
    }
  }

  public void markPlaced(MachineId where) {
    machine = Optional.of(where);
    if (state == State.STORED) {
      transitionTo(State.PLACED);
    }
  }

  public void markRunning(MachineId where, MonotonicTime since) {
    machine = Optional.of(where);
    if (runningSince.isEmpty()) {
      runningSince = Optional.of(since);
    }
    transitionTo(State.RUNNING);
  }

  void end() {
    transitionTo(State.ENDED);
  }

  /** A new owner found nothing yet: the place is unknown again. */
  public void clearPlacement() {
    machine = Optional.empty();
    if (state == State.PLACED || state == State.RUNNING) {
      transitionTo(State.STORED);
    }
  }

  public void requestStop() {
    stop = true;
  }

  public TaskId task() {
    return task;
  }

  /** What it takes of its machine. */
  public Resources perTask() {
    return perTask;
  }

  public ShardId shard() {
    return shard;
  }

  public ZoneId zone() {
    return zone;
  }

  public Attempt attempt() {
    return attempt;
  }

  public State state() {
    return state;
  }

  public Optional<MachineId> machine() {
    return machine;
  }

  public Optional<MonotonicTime> runningSince() {
    return runningSince;
  }

  public boolean stopRequested() {
    return stop;
  }

  /** When this was stored; 0 if an earlier leader did it. */
  public Revision storedAt() {
    return storedAt;
  }

  /** Known to the owner, or about to be. */
  public boolean visibleToOwner() {
    return state != State.WRITING;
  }
}
