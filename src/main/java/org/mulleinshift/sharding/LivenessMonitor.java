package org.mulleinshift.sharding;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.mulleinshift.settings.PlatformSettings.WorkerTiming;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells from the heartbeats that came, and those that did not, which machines of a shard are alive
 * and on which nothing can run any more.
 */
final class LivenessMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(LivenessMonitor.class);

  /** Clocks may run apart by this fraction of a worker's lease. */
  private static final int CLOCK_DRIFT_DIVISOR = 500;

  private static final Duration EXPIRY_MARGIN = Duration.ofMillis(500);
  private static final Duration LOST_MARGIN = Duration.ofSeconds(1);

  /** A machine is suspected after two and a half report intervals. */
  private static final int SUSPECTED_AFTER_HALF_INTERVALS = 5;

  private final EventLoop loop;
  private final WorkerTiming timing;
  private final Duration shardLease;
  private final ShardState state;
  private final AssignmentReceiver assignments;
  private final MonotonicTime startedAt;
  private MonotonicTime listeningSince;

  /**
   * A monitor that starts with the grant.
   *
   * @param timing of workers
   * @param shardLease for how long an earlier owner may still act
   */
  LivenessMonitor(
      EventLoop loop,
      WorkerTiming timing,
      Duration shardLease,
      ShardState state,
      AssignmentReceiver assignments) {
    this.loop = loop;
    this.timing = timing;
    this.shardLease = shardLease;
    this.state = state;
    this.assignments = assignments;
    this.startedAt = loop.now();
    this.listeningSince = startedAt;
  }

  /** Checks all machines; to be called only by an owner that may act. */
  void tick() {
    MonotonicTime now = loop.now();
    for (OwnedMachine machine : state.machines()) {
      if (hasRecentResponse(machine, now)) {
        continue;
      }
      boolean mayHaveTasks = machine.record().up() || machine.lastResponseAt().isPresent();
      if (mayHaveTasks
          && machine.phase() != MachinePhase.EXPIRED
          && now.isAfter(workerLeaseExpiry(machine))) {
        expire(machine);
      }
      state.updateLiveness(machine, livenessOf(machine, now));
    }
  }

  private void expire(OwnedMachine machine) {
    LOG.info("worker lease expired, machine={}", machine.id());
    state.transition(machine, MachinePhase.EXPIRED);
    machine.unassignedTasks(List.of());
    state.updateUnreadableTasks(machine, assignments.unreadableJobs());
    state.markAllAbsent(machine);
  }

  /** Most machines, most of the time: neither silent nor near the end of any lease. */
  private boolean hasRecentResponse(OwnedMachine machine, MonotonicTime now) {
    return machine.liveness() == MachineLiveness.ALIVE
        && machine.phase() == MachinePhase.CONFIRMED
        && machine.lastResponseAt().isPresent()
        && now.since(machine.lastResponseAt().get()).compareTo(timing.heartbeatInterval()) < 0;
  }

  /**
   * When the worker has surely ended its epoch. Until it has shown that it knows our token, the
   * shard's earlier owner may have answered it, for as long as a shard lease lasts.
   */
  private MonotonicTime workerLeaseExpiry(OwnedMachine machine) {
    MonotonicTime lastResponse = machine.lastResponseAt().orElse(startedAt);
    if (machine.phase() != MachinePhase.CONFIRMED) {
      MonotonicTime earlierOwnerLeaseEnd = startedAt.plus(shardLease);
      lastResponse =
          earlierOwnerLeaseEnd.isAfter(lastResponse) ? earlierOwnerLeaseEnd : lastResponse;
    }
    Duration lease = timing.lease();
    return lastResponse.plus(lease).plus(lease.dividedBy(CLOCK_DRIFT_DIVISOR)).plus(EXPIRY_MARGIN);
  }

  /**
   * Heartbeats sent while this process was paused were not received: their senders were not silent.
   */
  void onProcessPause() {
    listeningSince = loop.now();
  }

  /** How many machines should be heard by now. */
  int expectedMachineCount() {
    return (int) expectedMachines().count();
  }

  /** How many of those are not heard. */
  int unreachableMachineCount() {
    return (int) expectedMachines().filter(m -> m.liveness() != MachineLiveness.ALIVE).count();
  }

  /** Machines that should be heard by now: none that may still be looking for this node. */
  private Stream<OwnedMachine> expectedMachines() {
    Duration owned = loop.now().since(startedAt);
    boolean settled = owned.compareTo(timing.lease()) > 0 && owned.compareTo(shardLease) > 0;
    return state.machines().stream()
        .filter(m -> m.record().up() && (settled || m.heartbeatReceivedAt().isPresent()));
  }

  /** Whether the machine is alive now, by what was heard of it and what it heard. */
  MachineLiveness livenessOf(OwnedMachine machine, MonotonicTime now) {
    MonotonicTime lastHeard = machine.heartbeatReceivedAt().orElse(startedAt);
    Duration silence = now.since(listeningSince.isAfter(lastHeard) ? listeningSince : lastHeard);
    Duration unacknowledged =
        machine.tokenUnacknowledgedSince().map(now::since).orElse(Duration.ZERO);
    if (silence.compareTo(lostAfter(machine)) > 0
        || unacknowledged.compareTo(timing.lease().multipliedBy(2)) > 0) {
      return MachineLiveness.LOST;
    }
    boolean suspected =
        silence.compareTo(suspectedAfter()) >= 0 || machine.tokenUnacknowledgedSince().isPresent();
    return suspected ? MachineLiveness.SUSPECTED : MachineLiveness.ALIVE;
  }

  private Duration suspectedAfter() {
    return suspectedAfter(timing.heartbeatInterval());
  }

  /** After which silence a machine is suspected. */
  static Duration suspectedAfter(Duration heartbeatInterval) {
    return heartbeatInterval.multipliedBy(SUSPECTED_AFTER_HALF_INTERVALS).dividedBy(2);
  }

  private Duration lostAfter(OwnedMachine machine) {
    Duration lost = timing.lease().plus(LOST_MARGIN);
    if (machine.heartbeatReceivedAt().isPresent()) {
      return lost;
    }
    // The shard's earlier owner may answer it for a shard lease; then it must find this node.
    // No longer than that: an unreachable zone's machines are replaced during the outage.
    Duration answeredElsewhere = shardLease.plus(suspectedAfter());
    return answeredElsewhere.compareTo(lost) > 0 ? answeredElsewhere : lost;
  }
}
