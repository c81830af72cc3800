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

/** Builds the messages that tell shard owners their assignments. */
public final class AssignmentWriter {
  private final EventLoop loop;
  private final Revision term;
  private final JobTable jobs;
  private final UnreadableJobs unreadable;
  private final Predicate<MachineId> cordoned;
  private final ToIntFunction<JobId> rank;

  /**
   * Creates a writer for one term.
   *
   * @param loop provides the current time
   * @param term the revision of the leader key
   * @param jobs the jobs that may run
   * @param unreadable the jobs that this build can't read
   * @param cordoned whether a machine must not take new tasks
   * @param rank the scheduling rank of a job; tasks of lower ranks are placed first
   */
  public AssignmentWriter(
      EventLoop loop,
      Revision term,
      JobTable jobs,
      UnreadableJobs unreadable,
      Predicate<MachineId> cordoned,
      ToIntFunction<JobId> rank) {
    this.loop = loop;
    this.term = term;
    this.jobs = jobs;
    this.unreadable = unreadable;
    this.cordoned = cordoned;
    this.rank = rank;
  }

  /**
   * Returns the message with all changes since the base version of the shard's next message, and
   * marks them as sent.
   *
   * @throws java.util.NoSuchElementException if the shard has no grant
   */
  public ShardAssignment writeChanges(ShardView shard) {
    Revision grant = shard.grant().orElseThrow().revision();
    PublishedAssignments assignments = shard.assignments();
    long base = assignments.baseVersion();
    Map<JobId, List<AssignedTask>> byJob = new LinkedHashMap<>();
    List<RemovedTask> removed = new ArrayList<>();
    for (TaskId task : assignments.changesSince(base)) {
      assignments
          .find(task)
          .ifPresentOrElse(
              assignment ->
                  byJob
                      .computeIfAbsent(task.job(), key -> new ArrayList<>())
                      .add(assignedTask(assignment, grant)),
              () -> removed.add(new RemovedTask(task.job().value(), task.index())));
    }
    List<AssignedJob> assigned = new ArrayList<>();
    byJob.forEach(
        (id, tasks) -> assigned.add(assignedJob(jobs.find(id).orElseThrow().spec(), tasks)));
    // An entry without tasks tells the owner to leave running tasks of the job alone. The owner
    // replaces its set of such jobs with each message, so every message lists all of them.
    unreadable.jobs().forEach(id -> assigned.add(unreadableJob(id)));
    List<String> cordonedMachines =
        shard.machines().keySet().stream().filter(cordoned).map(MachineId::value).toList();
    return new ShardAssignment(
        term.value(),
        shard.id().value(),
        grant.value(),
        base,
        assignments.markSent(loop.now()),
        removed,
        assigned,
        cordonedMachines);
  }

  private static AssignedTask assignedTask(TaskAssignment assignment, Revision grant) {
    assignment.markSent(grant);
    return new AssignedTask(
        assignment.task().index(),
        assignment.attempt().value(),
        assignment.isFreshUnder(grant),
        mustNotStart(assignment));
  }

  /**
   * Whether the owner must not start the task. This includes a task whose end is not stored yet: a
   * new owner of the shard must not start what an earlier owner reported as ended, since the task
   * may be started elsewhere once its end is stored.
   */
  private static boolean mustNotStart(TaskAssignment assignment) {
    return assignment.stopRequested() || assignment.state() == TaskAssignment.State.ENDED;
  }

  private static AssignedJob unreadableJob(JobId id) {
    return new AssignedJob(id.value(), 0.0, 0.0, 0.0, "", 0.0, 0.0, List.of(), false, 0, List.of());
  }

  private AssignedJob assignedJob(JobSpec spec, List<AssignedTask> tasks) {
    ResourceRequest request = ResourceRequest.of(spec);
    return new AssignedJob(
        spec.id().value(),
        request.perTask().cpus(),
        request.perTask().gpus(),
        request.perTask().memoryGb(),
        request.image(),
        request.imageGb(),
        spec.checkpointIntervalSeconds() > 0 ? spec.saveSeconds() : 0,
        request.types().stream().map(type -> type.value()).toList(),
        request.spotAllowed(),
        rank.applyAsInt(spec.id()),
        tasks);
  }
}
