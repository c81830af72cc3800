package org.mulleinshift.sharding;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.mulleinshift.compatibility.UnreadableJobs;
import org.mulleinshift.model.JobTable;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.peer.AssignedJob;
import org.mulleinshift.protocol.peer.AssignedTask;
import org.mulleinshift.protocol.peer.RemovedTask;
import org.mulleinshift.protocol.peer.ShardAssignment;
import org.mulleinshift.transport.EventLoop;

/** Writes what the owner of a shard is to hear. */
public final class AssignmentWriter {
  private final JobTable jobs;
  private final UnreadableJobs unreadable;
  private final Predicate<MachineId> cordoned;
  private final ToIntFunction<JobId> rank;
  private final EventLoop loop;
  private final Revision term;

  /**
   * A writer for one term.
   *
   * @param cordoned whether a machine must take no new task
   * @param rank a job's place in the order of urgency
   */
  public AssignmentWriter(
      EventLoop loop,
      Revision term,
      JobTable jobs,
      UnreadableJobs unreadable,
      Predicate<MachineId> cordoned,
      ToIntFunction<JobId> rank) {
    this.jobs = jobs;
    this.unreadable = unreadable;
    this.cordoned = cordoned;
    this.rank = rank;
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
    byJob.forEach(
        (id, tasks) -> assigned.add(assignedJob(jobs.find(id).orElseThrow().spec(), tasks)));
    // A job without tasks: what runs of it is left alone. All of them, with each message.
    unreadable.jobs().forEach(id -> assigned.add(unreadableJob(id)));
    List<String> closed = new ArrayList<>();
    shard.machines().keySet().stream()
        .filter(cordoned)
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
        rank.applyAsInt(spec.id()),
        tasks);
  }
}
