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
 * Connects the dependency resolver to a leader's term. Holds back jobs with unfinished dependencies
 * until they may run, and informs the resolver of how their dependencies ended.
 */
public final class DependencyTracker {
  private static final int MAX_CACHED_ENDS = 20_000;

  /**
   * Inherited deadlines depend on expected run times, which keep changing, so propagation is
   * repeated at this interval even if no dependency has changed.
   */
  private static final double PROPAGATION_INTERVAL_SECONDS = 2;

  /** The leader's term that the jobs belong to. */
  public interface TermContext {
    /** The term has loaded its state and has not ended. */
    boolean isActive();

    /** The term has not ended; it may still be loading its state. */
    boolean isOngoing();

    /** A job no longer waits for dependencies: it may run, or is cancelled and has to end. */
    void onReady(Job job);

    /** A job was cancelled while it waited for its dependencies. */
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
   * Creates a tracker for one term.
   *
   * @param loop the event loop that all state is confined to
   * @param store source of job ends and of dependency lists
   * @param batcher writer of the term, which is given the revision of each dependency list read, so
   *     that it can delete the list later
   * @param jobs the unfinished jobs that do not wait for dependencies
   * @param runTimes expected run times
   * @param term the term that the jobs belong to
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

  /** The job, if it waits for dependencies. */
  public Optional<Job> findWaitingJob(JobId job) {
    return resolver.findWaiting(job);
  }

  /** Admits a stored job, which waits until its dependencies are done if it has any. */
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

  /**
   * Starts resolving dependencies once all stored state is loaded. Jobs that an earlier leader
   * released, as their stored progress shows, and cancelled jobs do not wait.
   */
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
    if (job.dependencies().listCount() == 0) {
      addDependencies(job, job.dependencies().inlineJobs());
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

  /**
   * Applies the outcome of a dependency if it is known, or reads it from the store. The leader
   * knows all active jobs; any other dependency has ended, or is new and will be reported by the
   * watch.
   */
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

  /** Applies a changed record of a waiting job; a cancelled job stops waiting. */
  public void update(Job job, JobRecord record) {
    job.update(record);
    if (job.state() == Job.State.CANCELLING) {
      resolver.remove(job.spec().id());
      term.onCancelled(job);
    }
  }

  /** Cancels the dependents of a job whose cancellation is stored. */
  public void onCancelled(JobId job) {
    resolver.onCancelled(job);
  }

  /**
   * Releases or cancels the dependents of a job whose end is stored.
   *
   * @param atMillis wall-clock time of the end in milliseconds
   */
  public void onEnded(Job job, long atMillis) {
    JobEnd end = new JobEnd(job.terminalPhase(), atMillis);
    cachedEnds.put(job.spec().id(), end);
    resolver.onEnded(job.spec().id(), end);
  }

  /** Whether the end of the job was stored in this term; only the latest ends are known. */
  public boolean hasEnded(JobId job) {
    return cachedEnds.containsKey(job);
  }

  /** Stops tracking a waiting job without releasing or cancelling it. */
  public void remove(JobId job) {
    resolver.remove(job);
  }

  /** Updates the priorities and deadlines that jobs inherit, if they may have changed. */
  public void propagatePriorities() {
    MonotonicTime now = loop.now();
    if (resolver.getAndClearChanged()
        || now.secondsSince(lastPropagatedAt) >= PROPAGATION_INTERVAL_SECONDS) {
      lastPropagatedAt = now;
      resolver.propagatePriorities();
    }
  }

  /** The waiting jobs expected to be released within the horizon. */
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
