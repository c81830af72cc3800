package org.mulleinshift.dependencies;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.memory.BoundedMap;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.model.JobTable;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.scheduling.RunTimeEstimator;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.TransactionBatcher;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Joins the chains to a leader's term: takes jobs that await others out of its sight until they may
 * run, and tells the chains how the others stand.
 */
public final class DependencyTracker implements DependencyResolver.Listener {
  private static final int REMEMBERED_ENDS = 20_000;

  /** Run times change; what jobs inherit follows them now and then. */
  private static final double INHERIT_SECONDS = 2;

  /** The term that the jobs belong to. */
  public interface Owner {
    /** The term has loaded its state and has not ended. */
    boolean active();

    /** The term goes on, or will once it has loaded its state. */
    boolean serving();

    /** A job may run, or is to end. */
    void onReady(Job job);

    /** A job that was waiting is cancelled. */
    void onCancelled(Job job);
  }

  private final EventLoop loop;
  private final Owner owner;
  private final JobTable jobs;
  private final RunTimeEstimator runTimes;
  private final TransactionBatcher batcher;
  private final DependencyResolver resolver;
  private final DependencyLoader loader;
  private final Map<JobId, DependencyResolver.End> ends = new BoundedMap<>(REMEMBERED_ENDS);
  private MonotonicTime inheritedAt;

  /** A tracker for one term. */
  public DependencyTracker(
      EventLoop loop,
      KeyValueStore store,
      TransactionBatcher batcher,
      JobTable jobs,
      RunTimeEstimator runTimes,
      Owner owner) {
    this.loop = loop;
    this.batcher = batcher;
    this.jobs = jobs;
    this.runTimes = runTimes;
    this.owner = owner;
    this.resolver = new DependencyResolver(this, loop::wallMillis);
    this.inheritedAt = loop.now();
    this.loader = new DependencyLoader(loop, store, owner::serving, resolver::onEnded);
  }

  public Optional<Job> waitingJob(JobId job) {
    return resolver.waitingJobs(job);
  }

  /** A job from the store: it runs as any other, or is held until what it awaits is over. */
  public void admit(JobRecord record) {
    Job job = new Job(record);
    if (job.state() != Job.State.AWAITING_DEPENDENCIES) {
      owner.onReady(job);
      return;
    }
    resolver.await(job);
    if (owner.active()) {
      loadDependencies(job);
    }
  }

  /** All that is stored was read, progress too: what has some was let go before. */
  public void begin() {
    for (Job job : List.copyOf(resolver.waitingJobs())) {
      if (job.state() == Job.State.AWAITING_DEPENDENCIES) {
        loadDependencies(job);
      } else {
        resolver.remove(job.spec().id());
        owner.onReady(job);
      }
    }
  }

  private void loadDependencies(Job job) {
    if (job.dependencies().lists() == 0) {
      loadDependencies(job, job.dependencies().named());
    } else {
      loader.loadLists(
          job.spec().id(),
          job.dependencies(),
          awaited -> loadDependencies(job, awaited),
          item -> batcher.recordRevision(item.key(), item.revision()));
    }
  }

  private void loadDependencies(Job job, List<JobId> awaited) {
    if (waitingJob(job.spec().id()).filter(found -> found == job).isEmpty()) {
      return;
    }
    resolver.addDependencies(job, awaited);
    awaited.forEach(this::resolve);
  }

  /** What is active is known to this leader, all else is over or will be shown by the watch. */
  private void resolve(JobId need) {
    DependencyResolver.End end = ends.get(need);
    Optional<Job> open = jobs.find(need).or(() -> resolver.waitingJobs(need));
    if (end != null) {
      resolver.onEnded(need, end);
    } else if (open.isEmpty()) {
      loader.loadEnd(need);
    } else if (open.get().cancelled()) {
      resolver.onCancelled(need);
    }
  }

  /** The stored record of a held job changed. */
  public void update(Job job, JobRecord record) {
    job.update(record);
    if (job.state() == Job.State.CANCELLING) {
      resolver.remove(job.spec().id());
      onCancelled(job);
    }
  }

  /** A cancellation is stored. */
  public void onCancelled(JobId job) {
    resolver.onCancelled(job);
  }

  public void onEnded(Job job, long atMillis) {
    DependencyResolver.End end = new DependencyResolver.End(job.terminalPhase(), atMillis);
    ends.put(job.spec().id(), end);
    resolver.onEnded(job.spec().id(), end);
  }

  public void remove(JobId job) {
    resolver.remove(job);
  }

  @Override
  public void onReleased(Job job) {
    owner.onReady(job);
  }

  @Override
  public void onCancelled(Job job) {
    owner.onCancelled(job);
  }

  /** Before jobs are ranked. */
  public void propagatePriorities() {
    MonotonicTime now = loop.now();
    if (resolver.changed() || now.secondsSince(inheritedAt) >= INHERIT_SECONDS) {
      inheritedAt = now;
      resolver.propagatePriorities(this::activeJob, runTimes::expectedSeconds);
    }
  }

  private Optional<Job> activeJob(JobId job) {
    return jobs.find(job);
  }

  /** Held jobs that should be let go within the horizon. */
  public List<DependencyResolver.ExpectedRelease> expectedReleases(double horizon) {
    return resolver.expectedReleases(
        horizon, this::activeJob, this::endsIn, runTimes::expectedSeconds);
  }

  /** The longest that any of the job's tasks should still take, if those that wait start now. */
  private double endsIn(Job job) {
    if (job.state() != Job.State.ACTIVE) {
      return Double.MAX_VALUE;
    }
    double expected = runTimes.expectedSeconds(job);
    double left = job.waitingCount() > 0 ? expected : 0;
    MonotonicTime now = loop.now();
    for (TaskAssignment assignment : job.assignments()) {
      double ran = assignment.runningSince().map(now::secondsSince).orElse(0.0);
      left = Math.max(left, RunTimeEstimator.remaining(expected, ran));
    }
    return left;
  }
}
