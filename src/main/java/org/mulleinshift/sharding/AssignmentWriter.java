package org.mulleinshift.sharding;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.leader.Leader;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.peer.AssignedJob;
import org.mulleinshift.protocol.peer.AssignedTask;
import org.mulleinshift.protocol.peer.RemovedTask;
import org.mulleinshift.protocol.peer.ShardAssignment;
import org.mulleinshift.transport.EventLoop;

/** Writes what the owner of a shard is to hear. */
public final class AssignmentWriter {
  private final Leader leader;
  private final EventLoop loop;
  private final Revision term;

  public AssignmentWriter(Leader leader, EventLoop loop, Revision term) {
    this.leader = leader;
    this.loop = loop;
    this.term = term;
  }

  /** Marks the shard's changes as sent. */
  public ShardAssignment of(ShardView shard) {
    Revision grant = shard.grant().get().revision();
    long base = shard.base();
    Map<JobId, List<AssignedTask>> byJob = new LinkedHashMap<>();
    List<RemovedTask> removed = new ArrayList<>();
    for (TaskId task : shard.changesSince(base)) {
      TaskAssignment assignment = shard.published(task).orElse(null);
      if (assignment == null) {
        removed.add(new RemovedTask(task.job().value(), task.index()));
      } else {
        byJob
            .computeIfAbsent(task.job(), key -> new ArrayList<>())
            .add(
                new AssignedTask(
                    task.index(),
                    assignment.attempt().value(),
                    assignment.storedAt().compareTo(grant) > 0,
                    mustNotStart(assignment)));
      }
    }
    List<AssignedJob> assigned = new ArrayList<>();
    byJob.forEach((id, tasks) -> assigned.add(assignedJob(leader.jobs().get(id).spec(), tasks)));
    // A job without tasks: what runs of it is left alone. All of them, with each message.
    leader.unreadable().jobs().forEach(id -> assigned.add(unreadableJob(id)));
    List<String> closed = new ArrayList<>();
    shard.machines().keySet().stream()
        .filter(machine -> leader.isCordoned(machine))
        .forEach(machine -> closed.add(machine.value()));
    return new ShardAssignment(
        term.value(),
        shard.id().value(),
        grant.value(),
        base,
        shard.send(loop.now()),
        removed,
        assigned,
        closed);
  }

  /**
   * Also a task whose end is not stored yet: an owner that is new to the shard must not start what
   * an earlier one has reported as ended, since it may be started elsewhere once that is stored.
   */
  private static boolean mustNotStart(TaskAssignment assignment) {
    return assignment.stopRequested() || assignment.state() == TaskAssignment.State.ENDED;
  }

  private static AssignedJob unreadableJob(JobId id) {
    return new AssignedJob(id.value(), 0.0, 0.0, 0.0, "", 0.0, 0.0, List.of(), false, 0, List.of());
  }

  private AssignedJob assignedJob(JobSpec spec, List<AssignedTask> tasks) {
    ResourceRequest need = ResourceRequest.of(spec);
    return new AssignedJob(
        spec.id().value(),
        need.perTask().cpus(),
        need.perTask().gpus(),
        need.perTask().memoryGb(),
        need.image(),
        need.imageGb(),
        spec.checkpointSeconds() > 0 ? spec.saveSeconds() : 0,
        need.types().stream().map(type -> type.value()).toList(),
        need.spotAllowed(),
        leader.ranking().rank(spec.id()),
        tasks);
  }
}
