package org.mulleinshift.dependencies;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.JobTable;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.Revision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The jobs of one term that wait for their dependencies. A job is released once all its
 * dependencies are stored as done, and cancelled once the cancellation of one of them is stored. A
 * dependency whose outcome is unknown counts as not done.
 */
final class DependencyResolver {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyResolver.class);

  /** Notified when a job stops waiting because of the outcome of its dependencies. */
  interface Listener {
    /** All dependencies of the job are done. */
    void onReleased(Job job);

    /** The job was cancelled because one of its dependencies was. */
    void onCancelled(Job job);
  }

  private final DependencyGraph graph = new DependencyGraph();
  private final Map<JobId, Job> waitingJobs = new LinkedHashMap<>();
  private final Map<JobId, Long> latestDependencyEndMillis = new HashMap<>();
  private final JobTable activeJobs;
  private final DurationEstimates estimates;
  private final PriorityPropagation priorities;
  private final Listener listener;
  private final LongSupplier wallClockMillis;
  private final Revision term;
  private boolean changed;

  /**
   * Creates a resolver without jobs.
   *
   * @param activeJobs the unfinished jobs that do not wait for dependencies
   * @param estimates expected durations of jobs
   * @param listener notified of released and cancelled jobs
   * @param wallClockMillis the wall clock in milliseconds
   * @param term the term, used only in log messages
   */
  DependencyResolver(
      JobTable activeJobs,
      DurationEstimates estimates,
      Listener listener,
      LongSupplier wallClockMillis,
      Revision term) {
    this.activeJobs = activeJobs;
    this.estimates = estimates;
    this.priorities = new PriorityPropagation(graph, this::findUnfinished, estimates);
    this.listener = listener;
    this.wallClockMillis = wallClockMillis;
    this.term = term;
  }

  /**
   * Adds a waiting job, whose dependencies are unknown until {@link #addDependencies} is called.
   */
  void addWaiting(Job job) {
    waitingJobs.put(job.spec().id(), job);
  }

  /** The job, if it is waiting for dependencies. */
  Optional<Job> findWaiting(JobId job) {
    return Optional.ofNullable(waitingJobs.get(job));
  }

  /** An unmodifiable view of all waiting jobs, in the order in which they were added. */
  Collection<Job> waitingJobs() {
    return Collections.unmodifiableCollection(waitingJobs.values());
  }

  private Optional<Job> findUnfinished(JobId job) {
    return findWaiting(job).or(() -> activeJobs.find(job));
  }

  /** Removes a job that no longer waits, whatever the reason. */
  void remove(JobId job) {
    waitingJobs.remove(job);
    latestDependencyEndMillis.remove(job);
    graph.remove(job);
    changed = true;
  }

  /** Sets the dependencies of a waiting job. */
  void addDependencies(Job job, Collection<JobId> dependencies) {
    graph.add(job.spec().id(), dependencies);
    changed = true;
  }

  /** Releases or cancels the dependents of a job whose end is stored. */
  void onEnded(JobId job, JobEnd end) {
    if (end.phase() == JobPhase.DONE) {
      onDone(job, end.endedAtMillis());
    } else {
      onCancelled(job);
    }
  }

  private void onDone(JobId done, long atMillis) {
    graph
        .dependentsOf(done)
        .forEach(job -> latestDependencyEndMillis.merge(job, atMillis, Math::max));
    for (JobId id : graph.complete(done)) {
      Job job = waitingJobs.get(id);
      long readyMillis = latestDependencyEndMillis.getOrDefault(id, atMillis);
      remove(id);
      if (job != null) {
        job.release(readyMillis, wallClockMillis.getAsLong());
        listener.onReleased(job);
      }
    }
    changed = true;
  }

  /**
   * Cancels all transitive dependents of a cancelled job; since they wait, none of them has a task.
   */
  void onCancelled(JobId cancelled) {
    List<JobId> dependents = graph.transitiveDependentsOf(cancelled);
    if (!dependents.isEmpty()) {
      LOG.info(
          "dependents cancelled, term={} job={} dependents={}", term, cancelled, dependents.size());
    }
    List<Job> jobs = new ArrayList<>();
    for (JobId id : dependents) {
      findWaiting(id).ifPresent(jobs::add);
      remove(id);
    }
    for (Job job : jobs) {
      job.cancel();
      listener.onCancelled(job);
    }
  }

  /** Whether the waiting jobs or their dependencies have changed since the last call. */
  boolean getAndClearChanged() {
    boolean wasChanged = changed;
    changed = false;
    return wasChanged;
  }

  /** Propagates priorities and deadlines from jobs to their dependencies. */
  void propagatePriorities() {
    priorities.run();
  }

  /** The jobs expected to be released within the horizon; each follows those it depends on. */
  List<ExpectedRelease> expectedReleases(double horizonSeconds) {
    List<ExpectedRelease> expected = new ArrayList<>();
    Map<JobId, Double> secondsUntilRelease = new HashMap<>();
    for (Job job : waitingJobsDependenciesFirst()) {
      double release = 0;
      for (JobId dependency : graph.dependenciesOf(job.spec().id())) {
        release = Math.max(release, secondsUntilDone(dependency, secondsUntilRelease));
      }
      secondsUntilRelease.put(job.spec().id(), release);
      if (release <= horizonSeconds) {
        expected.add(new ExpectedRelease(job, release));
      }
    }
    return expected;
  }

  private double secondsUntilDone(JobId dependency, Map<JobId, Double> secondsUntilRelease) {
    Job waiting = waitingJobs.get(dependency);
    if (waiting == null) {
      return activeJobs.find(dependency).map(estimates::remainingSeconds).orElse(Double.MAX_VALUE);
    }
    double release = secondsUntilRelease.getOrDefault(dependency, Double.MAX_VALUE);
    return estimates.secondsUntilDependentsRun(waiting, release);
  }

  private List<Job> waitingJobsDependenciesFirst() {
    List<Job> jobs = new ArrayList<>();
    graph.visitDependentsFirst(id -> findWaiting(id).ifPresent(jobs::add));
    Collections.reverse(jobs);
    return jobs;
  }
}
