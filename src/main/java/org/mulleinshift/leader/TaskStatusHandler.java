package org.mulleinshift.leader;

import java.time.Duration;
import java.util.Optional;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.peer.TaskStatus;
import org.mulleinshift.scheduling.ClusterState;
import org.mulleinshift.sharding.TaskPhase;
import org.mulleinshift.transport.MonotonicTime;

/** Applies the task statuses that shard owners report to the jobs of the tasks. */
final class TaskStatusHandler {
  private static final double MILLIS_PER_SECOND = 1000;

  /** Maximum retry delay after a failure, as a multiple of the initial delay. */
  private static final double MAX_BACKOFF_FACTOR = 12;

  /** Delay before a task that its owner could not start is assigned again. */
  private static final Duration REJECTED_RETRY_DELAY = Duration.ofMillis(500);

  private final ClusterState state;
  private final JobLifecycle jobs;
  private final double retryBackoffSeconds;

  TaskStatusHandler(ClusterState state, JobLifecycle jobs, double retryBackoffSeconds) {
    this.state = state;
    this.jobs = jobs;
    this.retryBackoffSeconds = retryBackoffSeconds;
  }

  /**
   * Applies a status. One of an attempt that has ended, or was never assigned, is stale and
   * ignored.
   */
  void onStatus(TaskStatus status) {
    Optional<Job> job = state.jobs().find(new JobId(status.getJob()));
    Optional<TaskAssignment> assignment =
        job.flatMap(found -> found.assignment(status.getIndex()))
            .filter(found -> found.attempt().value() == status.getAttempt())
            .filter(found -> found.state() != TaskAssignment.State.ENDED);
    if (assignment.isEmpty()) {
      return;
    }
    state.allocations().remove(assignment.get());
    apply(status, job.get(), assignment.get());
    state.allocations().add(assignment.get());
  }

  private void apply(TaskStatus status, Job job, TaskAssignment assignment) {
    MachineId machine = new MachineId(status.getMachine());
    MonotonicTime now = state.loop().now();
    switch (TaskPhase.fromWireName(status.getPhase())) {
      case NEW -> assignment.clearPlacement();
      case STARTING, FETCHING -> assignment.markPlaced(machine);
      case RUNNING, SAVING -> {
        assignment.markRunning(machine, now.minus(Duration.ofMillis(status.getRanMs())));
        job.markStarted(state.loop().wallMillis());
      }
      case DONE -> onDone(status, job, assignment, machine);
      case FAILED -> onFailed(job, assignment, machine);
      case REJECTED -> requeueTask(job, assignment, Optional.of(now.plus(REJECTED_RETRY_DELAY)));
      case STOPPED, LOST -> requeueTask(job, assignment, Optional.empty());
    }
  }

  private void onDone(TaskStatus status, Job job, TaskAssignment assignment, MachineId machine) {
    state.failures().onSuccess(job, machine);
    double seconds = status.getRanMs() / MILLIS_PER_SECOND;
    state.runTimes().onTaskDone(job.spec(), seconds);
    job.taskDone(assignment, seconds);
    jobs.onTaskEnded(job, status.getIndex());
  }

  /**
   * Delays the retry in proportion to the job's failures per task, so that a job that fails
   * everywhere does not fill the cluster.
   */
  private void onFailed(Job job, TaskAssignment assignment, MachineId machine) {
    MonotonicTime now = state.loop().now();
    state.failures().onFailure(job, machine, now);
    state.shards().markChanged(assignment.shard());
    job.countFailure();
    double failuresPerTask = job.failures() / (double) job.spec().taskCount();
    double delaySeconds =
        retryBackoffSeconds * Math.min(MAX_BACKOFF_FACTOR, Math.max(1, failuresPerTask));
    requeueTask(
        job, assignment, Optional.of(now.plusMillis((long) (delaySeconds * MILLIS_PER_SECOND))));
  }

  private void requeueTask(Job job, TaskAssignment assignment, Optional<MonotonicTime> notBefore) {
    job.requeueTask(assignment, notBefore);
    jobs.onTaskEnded(job, assignment.task().index());
  }
}
