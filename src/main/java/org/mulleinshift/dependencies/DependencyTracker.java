package org.mulleinshift.dependencies;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.leader.Leader;
import org.mulleinshift.memory.BoundedMap;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.scheduling.RunTimeEstimator;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Joins the chains to a leader's term: takes jobs that await others out of its sight until they may
 * run, and tells the chains how the others stand.
 */
public final class DependencyTracker implements DependencyResolver.Listener {
  private static final int REMEMBERED_ENDS = 20_000;

  /** Run times change; what jobs inherit follows them now and then. */
  private static final double INHERIT_SECONDS = 2;

  private final Leader leader;
  private final Leader.Context context;
  private final DependencyResolver resolver;
  private final DependencyLoader loader;
  private final Map<JobId, DependencyResolver.End> ends = new BoundedMap<>(REMEMBERED_ENDS);
  private MonotonicTime inheritedAt;

  public DependencyTracker(Leader leader, Leader.Context context) {
    this.leader = leader;
    this.context = context;
    this.resolver = new DependencyResolver(this, context.loop()::wallMillis);
    this.inheritedAt = context.loop().now();
    this.loader =
        new DependencyLoader(context.loop(), context.store(), leader::serving, resolver::onEnded);
  }

  public Optional<Job> waitingJob(JobId job) {
    return resolver.waitingJobs(job);
  }

  /** A job from the store: it runs as any other, or is held until what it awaits is over. */
  public void admit(JobRecord record) {
    Job job = new Job(record);
    if (job.state() != Job.State.AWAITING_DEPENDENCIES) {
      leader.addJob(job);
      return;
    }
    resolver.await(job);
    if (leader.leading()) {
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
        leader.addJob(job);
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
          item -> leader.batcher().recordRevision(item.key(), item.revision()));
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
    Optional<Job> open = leader.findJob(need);
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
    leader.addJob(job);
  }

  @Override
  public void onCancelled(Job job) {
    leader.addJob(job);
    leader.settle(job);
  }

  /** Before jobs are ranked. */
  public void propagatePriorities() {
    MonotonicTime now = context.loop().now();
    if (resolver.changed() || now.secondsSince(inheritedAt) >= INHERIT_SECONDS) {
      inheritedAt = now;
      resolver.propagatePriorities(this::activeJob, context.runTimes()::expectedSeconds);
    }
  }

  private Optional<Job> activeJob(JobId job) {
    return Optional.ofNullable(leader.jobs().get(job));
  }

  /** Held jobs that should be let go within the horizon. */
  public List<DependencyResolver.ExpectedRelease> expectedReleases(double horizon) {
    return resolver.expectedReleases(
        horizon, this::activeJob, this::endsIn, context.runTimes()::expectedSeconds);
  }

  /** The longest that any of the job's tasks should still take, if those that wait start now. */
  private double endsIn(Job job) {
    if (job.state() != Job.State.ACTIVE) {
      return Double.MAX_VALUE;
    }
    double expected = context.runTimes().expectedSeconds(job);
    double left = job.waitingCount() > 0 ? expected : 0;
    MonotonicTime now = context.loop().now();
    for (TaskAssignment assignment : job.assignments()) {
      double ran = assignment.runningSince().map(now::secondsSince).orElse(0.0);
      left = Math.max(left, RunTimeEstimator.remaining(expected, ran));
    }
    return left;
  }
}
