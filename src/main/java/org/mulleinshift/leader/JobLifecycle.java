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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages the jobs of a term from admission to their stored end: persists their progress, holds
 * them back until their dependencies are done, and stops the tasks of cancelled jobs.
 */
final class JobLifecycle
    implements JobDirectory, ProgressListener, DependencyTracker.TermContext, TaskActions {
  private static final Logger LOG = LoggerFactory.getLogger(JobLifecycle.class);

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

  /** Admits a stored job, which waits for its dependencies if it has any. */
  void admit(JobRecord record) {
    dependencies.admit(record);
    if (term.isActive()) {
      // The job may already be cancelled, and no later change of its record would report that.
      state.jobs().find(record.id()).ifPresent(this::reconcile);
    }
  }

  /**
   * Admits a job that the watch reported, unless its end is stored: an answer to the watch may be
   * older than that. A job is never accepted again after its end.
   */
  void admitUnlessEnded(JobRecord record) {
    if (dependencies.hasEnded(record.id())) {
      LOG.debug("outdated job record ignored, job={}", record.id());
    } else {
      admit(record);
    }
  }

  /**
   * Applies the record of a known job, reported by the watch or read again, if it is newer than the
   * known one.
   */
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
      reconcile(job);
    }
  }

  /** Loads a page of the progress log. All pages of the log must be loaded before any chunks. */
  void loadLogSegments(StoreCodec.Range page) {
    progress.loader().loadSegments(page);
  }

  /** Loads a page of chunks: progress that is stored under separate keys for each job. */
  void loadChunks(StoreCodec.Range page) {
    progress.loader().loadChunks(page);
  }

  /** Restores the jobs' tasks once all stored progress has been loaded. */
  void finishLoading() {
    progress.loader().finish();
  }

  /** Publishes the jobs' assignments and resolves dependencies once the term is active. */
  void start() {
    state.jobs().all().forEach(this::restoreAssignments);
    dependencies.start();
  }

  /** Adds the stored assignments of a job to the allocations and publishes them to the owners. */
  private void restoreAssignments(Job job) {
    job.assignments().forEach(state.allocations()::add);
    job.assignments().forEach(state.shards()::publish);
  }

  @Override
  public boolean isActive() {
    return term.isActive();
  }

  @Override
  public boolean isOngoing() {
    return term.isOngoing();
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
    reconcile(job);
  }

  @Override
  public Optional<Job> findJob(JobId id) {
    return state.jobs().find(id).or(() -> dependencies.findWaitingJob(id));
  }

  @Override
  public Collection<Job> activeJobs() {
    return state.jobs().all();
  }

  /** Stops managing the job and retracts its assignments; owners do not stop its running tasks. */
  @Override
  public void quarantineJob(JobId id, JsonNode record, String reason) {
    UnreadableJobs unreadable = state.unreadable();
    unreadable.quarantine(id, record, reason);
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

  /** Switches to the storage formats that all controllers support by now. */
  void maintainProgress() {
    progress.maintain();
  }

  /** Updates what jobs inherit from their dependents, if it may have changed. */
  void propagatePriorities() {
    dependencies.propagatePriorities();
  }

  /** The waiting jobs expected to be released within the horizon. */
  List<ExpectedRelease> expectedReleases(double horizonSeconds) {
    return dependencies.expectedReleases(horizonSeconds);
  }

  /**
   * Brings the job to the next step of its life cycle: stops its tasks and cancels its dependents
   * if it is cancelled, and has its end stored if no task remains.
   */
  void reconcile(Job job) {
    if (job.cancelled()) {
      // Also if the job is already ending: its dependents can end before its own end is stored.
      dependencies.onCancelled(job.spec().id());
    }
    if (job.state() == Job.State.CANCELLING) {
      for (TaskAssignment assignment : job.assignments()) {
        if (!assignment.stopRequested()) {
          requestStop(assignment);
        }
      }
    }
    boolean allTasksFinished =
        job.state() == Job.State.ACTIVE ? job.complete() : job.stoppedAfterCancellation();
    if (allTasksFinished) {
      progress.storeJobEnd(job);
    }
  }

  /** Stores the end of a task, which may also end the job. */
  void onTaskEnded(Job job, int taskIndex) {
    progress.store(job, taskIndex);
    reconcile(job);
  }

  @Override
  public void onProgressStored(Job job) {
    reconcile(job);
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
    if (assignment.mayBeKnownToOwner()) {
      state.shards().publish(assignment);
    }
  }
}
