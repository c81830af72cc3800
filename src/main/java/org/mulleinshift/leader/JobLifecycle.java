package org.mulleinshift.leader;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.mulleinshift.compatibility.UnreadableJobs;
import org.mulleinshift.dependencies.DependencyTracker;
import org.mulleinshift.dependencies.ExpectedRelease;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.progress.JobDirectory;
import org.mulleinshift.progress.ProgressListener;
import org.mulleinshift.progress.ProgressPersister;
import org.mulleinshift.progress.ProgressSettings;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.StoreCodec;
import org.mulleinshift.scheduling.ClusterState;
import org.mulleinshift.scheduling.TaskActions;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.TransactionBatcher;

/**
 * Takes the jobs of a term from admission to their stored end: what is stored of them, which
 * dependencies they await, and when their tasks are to stop.
 */
final class JobLifecycle
    implements JobDirectory, ProgressListener, DependencyTracker.TermContext, TaskActions {
  private final ClusterState state;
  private final TermState term;
  private final ProgressPersister progress;
  private final DependencyTracker dependencies;

  JobLifecycle(
      ClusterState state,
      TermState term,
      KeyValueStore store,
      TransactionBatcher batcher,
      ProgressSettings progressSettings) {
    this.state = state;
    this.term = term;
    this.progress =
        new ProgressPersister(
            state.loop(),
            batcher,
            this,
            state.shards(),
            state.unreadable(),
            this,
            progressSettings);
    this.dependencies =
        new DependencyTracker(state.loop(), store, batcher, state.jobs(), state.runTimes(), this);
  }

  /** Admits a job that is stored: it may run, or waits for others. */
  void admit(JobRecord record) {
    dependencies.admit(record);
    if (term.isActive()) {
      // It may be cancelled already: no later change of its record would say so again.
      state.jobs().find(record.id()).ifPresent(this::settle);
    }
  }

  /** The stored record of a known job was shown by the watch, or read again. */
  @Override
  public void onRecordRead(Job job, JobRecord record) {
    if (record.revision().compareTo(job.revision()) <= 0) {
      return;
    }
    if (job.state() == Job.State.AWAITING_DEPENDENCIES) {
      dependencies.update(job, record);
    } else {
      job.update(record);
      progress.onRecordChanged(job);
      settle(job);
    }
  }

  /** Reads a page of the progress log; all of it comes before any page of chunks. */
  void loadLogSegments(StoreCodec.Range page) {
    progress.loader().loadSegments(page);
  }

  /** Reads a page of progress that is stored in keys of each job. */
  void loadChunks(StoreCodec.Range page) {
    progress.loader().loadChunks(page);
  }

  /** All stored progress was read: restores the jobs' tasks from it. */
  void finishLoading() {
    progress.loader().finish();
  }

  /** The term is active: publishes the jobs' assignments, resolves dependencies. */
  void start() {
    state.jobs().all().forEach(this::restoreAssignments);
    dependencies.begin();
  }

  /** Restores the assignments of a job's tasks that are stored. */
  private void restoreAssignments(Job job) {
    job.assignments().forEach(state.allocations()::add);
    job.assignments().forEach(state.shards()::publish);
  }

  @Override
  public boolean isActive() {
    return term.isActive();
  }

  @Override
  public boolean isServing() {
    return term.isServing();
  }

  @Override
  public void onReady(Job job) {
    state.jobs().add(job);
    if (term.isActive()) {
      restoreAssignments(job);
      state.reservation().onJobArrived(job.spec(), state.loop().now());
      term.scheduleCycle();
    }
  }

  @Override
  public void onCancelled(Job job) {
    onReady(job);
    settle(job);
  }

  @Override
  public Optional<Job> findJob(JobId id) {
    return state.jobs().find(id).or(() -> dependencies.findWaitingJob(id));
  }

  @Override
  public Collection<Job> activeJobs() {
    return state.jobs().all();
  }

  /** Owners receive no more assignments of the job, and don't stop its running tasks. */
  @Override
  public void quarantineJob(JobId id, JsonNode record, String reason) {
    UnreadableJobs unreadable = state.unreadable();
    unreadable.add(id, record, reason);
    Optional<Job> job = state.jobs().remove(id);
    dependencies.remove(id);
    for (TaskAssignment assignment : job.map(Job::assignments).orElse(List.of())) {
      unreadable.addShard(assignment.shard());
      if (term.isActive()) {
        state.allocations().remove(assignment);
        state.shards().retract(assignment);
      }
    }
  }

  /** Adopts the stored forms that all controllers support by now. */
  void maintainProgress() {
    progress.maintain();
  }

  /** Updates the priorities that jobs inherit from their dependents, if they may have changed. */
  void propagatePriorities() {
    dependencies.propagatePriorities();
  }

  /** The waiting jobs that should be released within the horizon. */
  List<ExpectedRelease> expectedReleases(double horizonSeconds) {
    return dependencies.expectedReleases(horizonSeconds);
  }

  /** Ends the job if none of its tasks remains; stops its tasks if it was cancelled. */
  void settle(Job job) {
    if (job.cancelled()) {
      // Also while its own end waits to be stored: its dependents' ends need not wait for that.
      dependencies.onCancelled(job.spec().id());
    }
    if (job.state() == Job.State.CANCELLING) {
      for (TaskAssignment assignment : job.assignments()) {
        if (!assignment.stopRequested()) {
          requestStop(assignment);
        }
      }
    }
    boolean over = job.state() == Job.State.ACTIVE ? job.complete() : job.drained();
    if (over) {
      progress.storeJobEnd(job);
    }
  }

  /** A task has ended: this is to be stored, and may end the job. */
  void onTaskEnded(Job job, int taskIndex) {
    progress.store(job, taskIndex);
    settle(job);
  }

  @Override
  public void onProgressStored(Job job) {
    settle(job);
    term.scheduleCycle();
  }

  @Override
  public void onJobEnded(Job job, List<TaskAssignment> remaining, long atMillis) {
    JobId id = job.spec().id();
    state.jobs().remove(id);
    state.failures().onJobEnded(id);
    remaining.forEach(state.allocations()::remove);
    remaining.forEach(state.shards()::retract);
    dependencies.onEnded(job, atMillis);
    term.scheduleCycle();
  }

  @Override
  public void onAssigned(Job job, int taskIndex) {
    progress.storeUrgently(job, taskIndex);
  }

  @Override
  public void requestStop(TaskAssignment assignment) {
    assignment.requestStop();
    if (assignment.visibleToOwner()) {
      state.shards().publish(assignment);
    }
  }
}
