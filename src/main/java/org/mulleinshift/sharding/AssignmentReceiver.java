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

/** Applies the assignments that the leader sends to an owner, and remembers what else they say. */
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
   * A receiver that knows no assignment yet.
   *
   * @param grant under which this node owns the shard
   * @param cancelled whether a job is known to be cancelled
   */
  AssignmentReceiver(EventLoop loop, Revision grant, Predicate<JobId> cancelled, ShardState state) {
    this.loop = loop;
    this.grant = grant;
    this.cancelled = cancelled;
    this.state = state;
  }

  /**
   * Applies what the leader changed in its set. A message of an earlier term or grant is out of
   * date; one that builds on a version that never came is left out, the leader sends from the known
   * one again.
   *
   * @return whether the message was applied
   */
  boolean apply(ShardAssignment assignment) {
    if (!isApplicable(assignment)) {
      return false;
    }
    if (assignment.getLeaderTerm() != seenTerm) {
      // A new leader knows nothing of this shard yet.
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

  /** Takes over the assigned tasks, and returns their ids. */
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
    // The leader may not know yet of a cancellation that this node knows of.
    if (item.getStop() || cancelled.test(id.job())) {
      state.requestStop(task);
    }
  }

  /** The leader acknowledged the shard's status up to here. */
  void onStatusAck(ShardStatusAck ack) {
    if (ack.getGrant() == grant.value() && ack.getLeaderTerm() >= seenTerm) {
      state.statusReporter().onAck(ack.getSequence());
    }
  }

  /** Jobs that the leader can't read: what runs of them is left alone. */
  Set<JobId> unreadableJobs() {
    return unreadableJobs;
  }

  /** Whether the machine must take no new task. */
  boolean isCordoned(MachineId machine) {
    return cordoned.contains(machine);
  }

  /**
   * Whether it is known which tasks of the job belong here. Without the leader's set it is not; of
   * jobs that the leader can't read it never is.
   */
  boolean isAuthoritativeFor(JobId job) {
    return seenTerm > 0 && !unreadableJobs.contains(job);
  }

  /** Whether an unassigned task must stop. A cancelled job's must, whoever leads. */
  boolean mustStopUnassigned(JobId job) {
    return isAuthoritativeFor(job) || cancelled.test(job);
  }
}
