package org.mulleinshift.dependencies;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.memory.BoundedMap;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.model.JobTable;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.scheduling.RunTimeEstimator;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.TransactionBatcher;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Connects the dependency resolver to a leader's term: keeps jobs that wait for others apart until
 * they may run, and informs the resolver of how their dependencies ended.
 */
public final class DependencyTracker {
  private static final int MAX_CACHED_ENDS = 20_000;

  /** Expected run times change; inherited priorities follow them with this interval. */
  private static final double PROPAGATION_INTERVAL_SECONDS = 2;

  /** The term that the jobs belong to. */
  public interface TermContext {
    /** The term has loaded its state and has not ended. */
    boolean isActive();

    /** The term goes on, or will once it has loaded its state. */
    boolean isOngoing();

    /** A job may run, or is to end. */
    void onReady(Job job);

    /** A job that was waiting is cancelled. */
    void onCancelled(Job job);
  }

  private final EventLoop loop;
  private final TermContext term;
  private final JobTable jobs;
  private final TransactionBatcher batcher;
  private final DependencyResolver resolver;
  private final DependencyLoader loader;
  private final Map<JobId, JobEnd> cachedEnds = new BoundedMap<>(MAX_CACHED_ENDS);
  private MonotonicTime lastPropagatedAt;

  /**
   * A tracker for one term.
   *
   * @param loop owns all state
   * @param store where ends and long lists of dependencies are read
   * @param batcher writes for the term, and so is to know the revision of each key read
   * @param jobs the jobs that do not wait
   * @param runTimes expected run times
   * @param term the jobs belong to
   */
  public DependencyTracker(
      EventLoop loop,
      KeyValueStore store,
      TransactionBatcher batcher,
      JobTable jobs,
      RunTimeEstimator runTimes,
      TermContext term) {
    this.loop = loop;
    this.batcher = batcher;
    this.jobs = jobs;
    this.term = term;
    this.resolver =
        new DependencyResolver(
            jobs,
            new DurationEstimates(loop, runTimes),
            new ResolverListener(),
            loop::wallMillis,
            batcher.term());
    this.lastPropagatedAt = loop.now();
    this.loader = new DependencyLoader(loop, store, term::isOngoing, resolver::onEnded);
  }

  /** The job, if it waits for others. */
  public Optional<Job> findWaitingJob(JobId job) {
    return resolver.findWaiting(job);
  }

  /** Admits a stored job: it may run, or waits until its dependencies are done. */
  public void admit(JobRecord record) {
    Job job = new Job(record);
    if (job.state() != Job.State.AWAITING_DEPENDENCIES) {
      term.onReady(job);
      return;
    }
    resolver.addWaiting(job);
    if (term.isActive()) {
      loadDependencies(job);
    }
  }

  /** All stored state was read, progress too: jobs that have some were released before. */
  public void start() {
    for (Job job : List.copyOf(resolver.waitingJobs())) {
      if (job.state() == Job.State.AWAITING_DEPENDENCIES) {
        loadDependencies(job);
      } else {
        resolver.remove(job.spec().id());
        term.onReady(job);
      }
    }
  }

  private void loadDependencies(Job job) {
    if (job.dependencies().lists() == 0) {
      addDependencies(job, job.dependencies().named());
    } else {
      loader.loadLists(
          job.spec().id(),
          job.dependencies(),
          dependencies -> addDependencies(job, dependencies),
          item -> batcher.recordRevision(item.key(), item.revision()));
    }
  }

  private void addDependencies(Job job, List<JobId> dependencies) {
    boolean stillWaiting =
        findWaitingJob(job.spec().id()).filter(found -> found == job).isPresent();
    if (stillWaiting) {
      resolver.addDependencies(job, dependencies);
      dependencies.forEach(this::resolveDependency);
    }
  }

  /** Active jobs are known to this leader; all others are over, or the watch will show them. */
  private void resolveDependency(JobId dependency) {
    JobEnd end = cachedEnds.get(dependency);
    Optional<Job> unfinished = jobs.find(dependency).or(() -> resolver.findWaiting(dependency));
    if (end != null) {
      resolver.onEnded(dependency, end);
    } else if (unfinished.isEmpty()) {
      loader.loadEnd(dependency);
    } else if (unfinished.get().cancelled()) {
      resolver.onCancelled(dependency);
    }
  }

  /** The stored record of a waiting job changed. */
  public void update(Job job, JobRecord record) {
    job.update(record);
    if (job.state() == Job.State.CANCELLING) {
      resolver.remove(job.spec().id());
      term.onCancelled(job);
    }
  }

  /** A cancellation is stored: the job's dependents are cancelled too. */
  public void onCancelled(JobId job) {
    resolver.onCancelled(job);
  }

  /**
   * The end of a job is stored.
   *
   * @param atMillis wall-clock time of the end in milliseconds
   */
  public void onEnded(Job job, long atMillis) {
    JobEnd end = new JobEnd(job.terminalPhase(), atMillis);
    cachedEnds.put(job.spec().id(), end);
    resolver.onEnded(job.spec().id(), end);
  }

  /** The job no longer waits, and nothing becomes of it. */
  public void remove(JobId job) {
    resolver.remove(job);
  }

  /** Updates what jobs inherit from their dependents, if it may have changed. */
  public void propagatePriorities() {
    MonotonicTime now = loop.now();
    if (resolver.getAndClearChanged()
        || now.secondsSince(lastPropagatedAt) >= PROPAGATION_INTERVAL_SECONDS) {
      lastPropagatedAt = now;
      resolver.propagatePriorities();
    }
  }

  /** The waiting jobs that should be released within the horizon. */
  public List<ExpectedRelease> expectedReleases(double horizonSeconds) {
    return resolver.expectedReleases(horizonSeconds);
  }

  private final class ResolverListener implements DependencyResolver.Listener {
    @Override
    public void onReleased(Job job) {
      term.onReady(job);
    }

    @Override
    public void onCancelled(Job job) {
      term.onCancelled(job);
    }
  }
}
