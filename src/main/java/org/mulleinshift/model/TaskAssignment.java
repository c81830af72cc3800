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
 * The assignment of one attempt of a task to a shard. It counts against its team's quota from its
 * creation until its end is stored.
 */
public final class TaskAssignment {
  /** States of an assignment. */
  public enum State {
    /** Not yet stored; it must not be published to the shard's owner. */
    WRITING,
    /** Stored; the owner may place the task on a machine. */
    STORED,
    /** The owner reported the machine that it placed the task on. */
    PLACED,
    /** The task runs. */
    RUNNING,
    /** The attempt has ended, but its end is not stored yet. */
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

  /** The grant of the owner to which it was sent first; empty until then. */
  private Optional<Revision> firstSentUnder = Optional.empty();

  TaskAssignment(
      TaskId task, Resources resources, ShardId shard, ZoneId zone, Attempt attempt, State state) {
    this.task = task;
    this.resources = resources;
    this.shard = shard;
    this.zone = zone;
    this.attempt = attempt;
    this.state = state;
  }

  /** Changes the state, unless the assignment has ended, which is final. */
  private void transitionTo(State next) {
    if (state != State.ENDED) {
      state = next;
    }
  }

  /** Records that it is stored, so that it may be published to the owner. */
  void markStored(Revision revision) {
    if (state == State.WRITING) {
      storedRevision = revision;
      transitionTo(State.STORED);
    }
  }

  /** Records that it is sent to the owner under the grant. */
  public void markSent(Revision grant) {
    if (firstSentUnder.isEmpty()) {
      firstSentUnder = Optional.of(grant);
    }
  }

  /** Records that the owner placed the task on a machine. */
  public void markPlaced(MachineId placedOn) {
    machine = Optional.of(placedOn);
    if (state == State.STORED) {
      transitionTo(State.PLACED);
    }
  }

  /** Records that the task runs on a machine; the first reported start time is kept. */
  public void markRunning(MachineId placedOn, MonotonicTime since) {
    machine = Optional.of(placedOn);
    if (runningSince.isEmpty()) {
      runningSince = Optional.of(since);
    }
    transitionTo(State.RUNNING);
  }

  /** Records that the attempt has ended; this is yet to be stored. */
  void markEnded() {
    transitionTo(State.ENDED);
  }

  /** Forgets the machine, because a new owner has not found the task on any machine yet. */
  public void clearPlacement() {
    machine = Optional.empty();
    if (state == State.PLACED || state == State.RUNNING) {
      transitionTo(State.STORED);
    }
  }

  /** Marks the task to be stopped by its owner. */
  public void requestStop() {
    stopRequested = true;
  }

  /** Returns the task. */
  public TaskId task() {
    return task;
  }

  /** Returns the resources that the task requests. */
  public Resources perTask() {
    return resources;
  }

  /** Returns the shard that the task is assigned to. */
  public ShardId shard() {
    return shard;
  }

  /** Returns the zone of the shard. */
  public ZoneId zone() {
    return zone;
  }

  /** Returns the attempt, which tells it apart from other assignments of the task. */
  public Attempt attempt() {
    return attempt;
  }

  /** Returns its current state. */
  public State state() {
    return state;
  }

  /** Returns the task's machine; empty until the owner has reported one. */
  public Optional<MachineId> machine() {
    return machine;
  }

  /** Returns when the task started to run; empty until the owner has reported that. */
  public Optional<MonotonicTime> runningSince() {
    return runningSince;
  }

  /** Whether the owner is to stop the task. */
  public boolean stopRequested() {
    return stopRequested;
  }

  /**
   * Whether no owner under an earlier grant can have placed the task: this leader stored it after
   * the grant, and sent it under no other grant before. The revisions alone don't show that, since
   * the leader may have learned of the grant later than it stored the assignment.
   */
  public boolean isFreshUnder(Revision grant) {
    return storedRevision.compareTo(grant) > 0 && firstSentUnder.equals(Optional.of(grant));
  }

  /** Whether the owner knows it or may soon know it; false while it is not yet stored. */
  public boolean mayBeKnownToOwner() {
    return state != State.WRITING;
  }
}
