package org.mulleinshift.sharding;

import java.util.Optional;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.transport.MonotonicTime;

/** A task that the leader assigned to a shard, at the shard's owner. */
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

  /** Whether it is known to have been on its machine under the shard's current grant. */
  private boolean placementConfirmed;

  /**
   * A task that is on no machine yet.
   *
   * @param saveSeconds how long it may take to save its progress when it is stopped
   * @param rank its job's place in the order of urgency
   * @param assignedUnderCurrentGrant whether it was assigned under the shard's current grant
   * @param receivedAt when the leader's message about it came
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
   * The only place where the phase changes; a final phase stays.
   *
   * @param machineId the machine, if that changes or becomes known
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

  /** On a machine, or possibly so. */
  boolean isBound() {
    return machine.isPresent() && phase != TaskPhase.NEW && !phase.isFinal();
  }

  /** On that machine, or possibly so. */
  boolean isBoundTo(MachineId machineId) {
    return isBound() && machine.get().equals(machineId);
  }

  /** The machine on which it is, or possibly is. */
  Optional<MachineId> boundMachine() {
    return isBound() ? machine : Optional.empty();
  }

  /**
   * It was on its machine under the current grant: placed by this owner, or listed by a worker that
   * has received the grant's token. What a worker listed before that may be out of date, and the
   * task may have been started elsewhere since.
   */
  void confirmPlacement() {
    placementConfirmed = true;
  }

  /** Whether its absence from its machine shows that it is on none. */
  boolean placementConfirmed() {
    return placementConfirmed || assignedUnderCurrentGrant;
  }

  /** It is to stop, or not to start. */
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

  /** Assigned under this very grant: no earlier owner can have placed it. */
  boolean assignedUnderCurrentGrant() {
    return assignedUnderCurrentGrant;
  }

  /** When the leader's message about it came. */
  MonotonicTime receivedAt() {
    return receivedAt;
  }

  TaskPhase phase() {
    return phase;
  }

  /** The machine on which it is, possibly is, or last was. */
  Optional<MachineId> machine() {
    return machine;
  }

  /** For how long it has run, or ran until it ended. */
  long runTimeMillis(MonotonicTime now) {
    if (phase.isFinal()) {
      return runTimeMillis;
    }
    return runningSince.map(since -> now.since(since).toMillis()).orElse(0L);
  }
}
