package org.mulleinshift.sharding;

import java.util.Optional;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.transport.MonotonicTime;

/** The state of a task that is assigned to a shard, as tracked by the shard's owner. */
final class OwnedTask {
  private final TaskId id;
  private final Attempt attempt;
  private final ResourceRequest request;
  private final double saveSeconds;
  private final int rank;
  private final boolean assignedUnderCurrentGrant;
  private final MonotonicTime receivedAt;
  private TaskPhase phase = TaskPhase.NEW;
  private Optional<MachineId> machine = Optional.empty();
  private Optional<MonotonicTime> runningSince = Optional.empty();
  private long runTimeMillis;
  private boolean stopRequested;

  /** Whether it is known to have been on its machine under the current grant. */
  private boolean placementConfirmed;

  /**
   * Creates a task that has not been placed.
   *
   * @param saveSeconds time that it may take to save its progress when it is stopped
   * @param rank its job's position in the order of urgency; the lowest is the most urgent
   * @param assignedUnderCurrentGrant whether it was assigned under the shard's current grant
   * @param receivedAt when the leader's message that assigns it was received
   */
  OwnedTask(
      TaskId id,
      Attempt attempt,
      ResourceRequest request,
      double saveSeconds,
      int rank,
      boolean assignedUnderCurrentGrant,
      MonotonicTime receivedAt) {
    this.id = id;
    this.attempt = attempt;
    this.request = request;
    this.saveSeconds = saveSeconds;
    this.rank = rank;
    this.assignedUnderCurrentGrant = assignedUnderCurrentGrant;
    this.receivedAt = receivedAt;
  }

  /**
   * Sets the phase, which no other code changes; a final phase stays.
   *
   * @param machineId the machine, if it changes or becomes known
   */
  void transitionTo(TaskPhase next, Optional<MachineId> machineId, MonotonicTime now) {
    if (phase.isFinal()) {
      return;
    }
    if (machineId.isPresent()) {
      machine = machineId;
    }
    if (next == TaskPhase.NEW) {
      runningSince = Optional.empty();
    }
    if (next == TaskPhase.RUNNING && runningSince.isEmpty()) {
      runningSince = Optional.of(now);
    }
    if (next.isFinal()) {
      runTimeMillis = runningSince.map(since -> now.since(since).toMillis()).orElse(0L);
    }
    phase = next;
  }

  /** Whether it is, or may be, on a machine. */
  boolean isBound() {
    return machine.isPresent() && phase != TaskPhase.NEW && !phase.isFinal();
  }

  /** Whether it is, or may be, on that machine. */
  boolean isBoundTo(MachineId machineId) {
    return isBound() && machine.get().equals(machineId);
  }

  /** The machine on which it is or may be. */
  Optional<MachineId> boundMachine() {
    return isBound() ? machine : Optional.empty();
  }

  /**
   * Records that it was on its machine under the current grant: this owner placed it there, or a
   * worker that has received the grant's token listed it. Earlier listings may be out of date, and
   * the task may have been started on another machine since.
   */
  void confirmPlacement() {
    placementConfirmed = true;
  }

  /** Whether its absence from its machine proves that it is on no machine. */
  boolean placementConfirmed() {
    return placementConfirmed || assignedUnderCurrentGrant;
  }

  /** Records that it must stop, or must not be started. */
  void requestStop() {
    stopRequested = true;
  }

  boolean stopRequested() {
    return stopRequested;
  }

  TaskId id() {
    return id;
  }

  Attempt attempt() {
    return attempt;
  }

  ResourceRequest request() {
    return request;
  }

  double saveSeconds() {
    return saveSeconds;
  }

  int rank() {
    return rank;
  }

  /** Whether it was assigned under the current grant, so no earlier owner can have placed it. */
  boolean assignedUnderCurrentGrant() {
    return assignedUnderCurrentGrant;
  }

  /** When the leader's message that assigns it was received. */
  MonotonicTime receivedAt() {
    return receivedAt;
  }

  TaskPhase phase() {
    return phase;
  }

  /** The machine on which it is, may be or last was. */
  Optional<MachineId> machine() {
    return machine;
  }

  /** The time for which it has run, up to its end; 0 if it was never seen running. */
  long runTimeMillis(MonotonicTime now) {
    if (phase.isFinal()) {
      return runTimeMillis;
    }
    return runningSince.map(since -> now.since(since).toMillis()).orElse(0L);
  }
}
