package org.mulleinshift.sharding;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.peer.AssignedJob;
import org.mulleinshift.protocol.peer.AssignedTask;
import org.mulleinshift.protocol.peer.RemovedTask;
import org.mulleinshift.protocol.peer.ShardAssignment;
import org.mulleinshift.protocol.peer.ShardStatusAck;
import org.mulleinshift.transport.EventLoop;

/** Applies the leader's assignment messages to the shard, and keeps the other data in them. */
final class AssignmentReceiver {
  private final EventLoop loop;
  private final Revision grant;
  private final Predicate<JobId> cancelled;
  private final ShardState state;
  private final Set<JobId> unreadableJobs = new HashSet<>();
  private Set<MachineId> cordoned = Set.of();
  private long seenTerm;
  private long seenVersion;

  /**
   * Creates a receiver that has received no assignment yet.
   *
   * @param grant the grant under which this node owns the shard
   * @param cancelled tells whether a job is known to be cancelled
   */
  AssignmentReceiver(EventLoop loop, Revision grant, Predicate<JobId> cancelled, ShardState state) {
    this.loop = loop;
    this.grant = grant;
    this.cancelled = cancelled;
    this.state = state;
  }

  /**
   * Applies the leader's changes to the shard's assignments. A message of an earlier term, of
   * another grant or of a version already received is ignored as out of date. So is one whose base
   * version was never received; the leader then sends the changes since the last acknowledged
   * version.
   *
   * @return whether the message was applied
   */
  boolean apply(ShardAssignment assignment) {
    if (!isApplicable(assignment)) {
      return false;
    }
    if (assignment.getLeaderTerm() != seenTerm) {
      // A new leader has no status of this shard yet.
      state.statusReporter().resetForNewLeader();
    }
    seenTerm = assignment.getLeaderTerm();
    seenVersion = assignment.getVersion();
    state.statusReporter().onAssignment(seenTerm, seenVersion);
    cordoned = new HashSet<>();
    assignment.getCordoned().forEach(machine -> cordoned.add(new MachineId(machine)));
    Set<TaskId> assigned = applyJobs(assignment);
    for (RemovedTask removed : assignment.getRemoved()) {
      state.remove(new TaskId(new JobId(removed.getJob()), removed.getIndex()));
    }
    if (assignment.getBase() == 0) {
      state.retainOnly(assigned);
    }
    return true;
  }

  private boolean isApplicable(ShardAssignment assignment) {
    long term = assignment.getLeaderTerm();
    long knownVersion = term == seenTerm ? seenVersion : 0;
    return assignment.getGrant() == grant.value()
        && term >= seenTerm
        && assignment.getBase() <= knownVersion
        && assignment.getVersion() > knownVersion;
  }

  /** Adds or updates the assigned tasks, and returns their ids. */
  private Set<TaskId> applyJobs(ShardAssignment assignment) {
    Set<TaskId> assigned = new HashSet<>();
    unreadableJobs.clear();
    for (AssignedJob job : assignment.getJobs()) {
      ResourceRequest request = ResourceRequest.of(job);
      JobId id = new JobId(job.getJob());
      if (job.getTasks().isEmpty()) {
        unreadableJobs.add(id);
      }
      for (AssignedTask item : job.getTasks()) {
        TaskId task = new TaskId(id, item.getIndex());
        assigned.add(task);
        applyTask(task, job, item, request);
      }
    }
    return assigned;
  }

  private void applyTask(TaskId id, AssignedJob job, AssignedTask item, ResourceRequest request) {
    Attempt attempt = new Attempt(item.getAttempt());
    OwnedTask task =
        state
            .task(id, attempt)
            .orElseGet(
                () -> {
                  OwnedTask added =
                      new OwnedTask(
                          id,
                          attempt,
                          request,
                          job.getSaveSeconds(),
                          job.getRank(),
                          item.getFresh(),
                          loop.now());
                  state.add(added);
                  return added;
                });
    // This node may have learned of a cancellation before the leader did.
    if (item.getStop() || cancelled.test(id.job())) {
      state.requestStop(task);
    }
  }

  /** Handles the leader's acknowledgement of the shard's status up to a sequence number. */
  void onStatusAck(ShardStatusAck ack) {
    if (ack.getGrant() == grant.value() && ack.getLeaderTerm() >= seenTerm) {
      state.statusReporter().onAck(ack.getSequence());
    }
  }

  /** Jobs that the leader can't read; their running tasks are left alone. */
  Set<JobId> unreadableJobs() {
    return unreadableJobs;
  }

  /** Whether the machine must not be given new tasks. */
  boolean isCordoned(MachineId machine) {
    return cordoned.contains(machine);
  }

  /**
   * Whether this node knows which of the job's tasks are assigned to the shard. It does not before
   * the leader's first message, and never does for a job that the leader can't read.
   */
  boolean isAuthoritativeFor(JobId job) {
    return seenTerm > 0 && !unreadableJobs.contains(job);
  }

  /**
   * Whether the job's tasks that are not assigned to the shard must stop. Those of a cancelled job
   * must, even without a message from the leader.
   */
  boolean mustStopUnassigned(JobId job) {
    return isAuthoritativeFor(job) || cancelled.test(job);
  }
}
