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
 * Determines from the heartbeats received and missed which machines of a shard are alive, and on
 * which ones no task can run any more because the worker's lease has expired.
 */
final class LivenessMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(LivenessMonitor.class);

  /** Allowance for clock drift: the worker's lease divided by this number. */
  private static final int CLOCK_DRIFT_DIVISOR = 500;

  private static final Duration EXPIRY_MARGIN = Duration.ofMillis(500);
  private static final Duration LOST_MARGIN = Duration.ofSeconds(1);

  /** A machine is suspected after a silence of 2.5 heartbeat intervals, counted in halves. */
  private static final int SUSPECTED_AFTER_HALF_INTERVALS = 5;

  private final EventLoop loop;
  private final WorkerTiming timing;
  private final Duration shardLease;
  private final ShardState state;
  private final AssignmentReceiver assignments;
  private final MonotonicTime startedAt;
  private MonotonicTime listeningSince;

  /**
   * Creates a monitor; to be called when the shard is granted.
   *
   * @param timing the times that workers keep
   * @param shardLease time for which an earlier owner may still act after the grant
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

  /** Checks all machines. Only an owner that may act may call this. */
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
    machine.setUnassignedTasks(List.of());
    state.updateUnreadableTasks(machine, assignments.unreadableJobs());
    state.markAllAbsent(machine);
  }

  /**
   * Whether the machine needs no check: alive, confirmed and responded to within the last heartbeat
   * interval. This is the common case.
   */
  private boolean hasRecentResponse(OwnedMachine machine, MonotonicTime now) {
    return machine.liveness() == MachineLiveness.ALIVE
        && machine.phase() == MachinePhase.CONFIRMED
        && machine.lastResponseAt().isPresent()
        && now.since(machine.lastResponseAt().get()).compareTo(timing.heartbeatInterval()) < 0;
  }

  /**
   * The time by which the worker's lease has certainly expired. Until the worker has acknowledged a
   * token of this grant, the shard's earlier owner may have answered it, for up to one shard lease
   * after the grant.
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
   * Restarts the measurement of silence: heartbeats sent while this process was paused were not
   * received, so their senders were not silent.
   */
  void onProcessPause() {
    listeningSince = loop.now();
  }

  /** The number of machines whose heartbeats should be arriving. */
  int expectedMachineCount() {
    return (int) expectedMachines().count();
  }

  /** The number of those that are not alive. */
  int unreachableMachineCount() {
    return (int) expectedMachines().filter(m -> m.liveness() != MachineLiveness.ALIVE).count();
  }

  /**
   * Machines whose heartbeats should be arriving. A machine that has sent none counts only once a
   * worker lease and a shard lease have passed; until then it may still be looking for this node.
   */
  private Stream<OwnedMachine> expectedMachines() {
    Duration owned = loop.now().since(startedAt);
    boolean settled = owned.compareTo(timing.lease()) > 0 && owned.compareTo(shardLease) > 0;
    return state.machines().stream()
        .filter(m -> m.record().up() && (settled || m.heartbeatReceivedAt().isPresent()));
  }

  /**
   * Determines a machine's liveness from the time since its last heartbeat and the time for which a
   * token has been unacknowledged.
   */
  MachineLiveness livenessOf(OwnedMachine machine, MonotonicTime now) {
    MonotonicTime lastReceivedAt = machine.heartbeatReceivedAt().orElse(startedAt);
    Duration silence =
        now.since(listeningSince.isAfter(lastReceivedAt) ? listeningSince : lastReceivedAt);
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

  /** The silence after which a machine is suspected. */
  static Duration suspectedAfter(Duration heartbeatInterval) {
    return heartbeatInterval.multipliedBy(SUSPECTED_AFTER_HALF_INTERVALS).dividedBy(2);
  }

  private Duration lostAfter(OwnedMachine machine) {
    Duration lost = timing.lease().plus(LOST_MARGIN);
    if (machine.heartbeatReceivedAt().isPresent()) {
      return lost;
    }
    // The shard's earlier owner may answer the machine for one shard lease, then the machine must
    // find this node. The limit is no longer than that, so that the machines of an unreachable
    // zone are replaced during the outage.
    Duration earlierOwnerLimit = shardLease.plus(suspectedAfter());
    return earlierOwnerLimit.compareTo(lost) > 0 ? earlierOwnerLimit : lost;
  }
}
