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
  private final Leader.Surroundings context;
  private final DependencyResolver chains;
  private final DependencyLoader reader;
  private final Map<JobId, DependencyResolver.End> ends = new BoundedMap<>(REMEMBERED_ENDS);
  private MonotonicTime inheritedAt;

  public DependencyTracker(Leader leader, Leader.Surroundings context) {
    this.leader = leader;
    this.context = context;
    this.chains = new DependencyResolver(this, context.loop()::wallMillis);
    this.inheritedAt = context.loop().now();
    this.reader =
        new DependencyLoader(context.loop(), context.store(), leader::serving, chains::ended);
  }

  public Optional<Job> held(JobId job) {
    return chains.held(job);
  }

  /** A job from the store: it runs as any other, or is held until what it awaits is over. */
  public void admit(JobRecord record) {
    Job job = new Job(record);
    if (job.state() != Job.State.HELD) {
      leader.take(job);
      return;
    }
    chains.hold(job);
    if (leader.leading()) {
      await(job);
    }
  }

  /** All that is stored was read, progress too: what has some was let go before. */
  public void begin() {
    for (Job job : List.copyOf(chains.held())) {
      if (job.state() == Job.State.HELD) {
        await(job);
      } else {
        chains.leave(job.spec().id());
        leader.take(job);
      }
    }
  }

  private void await(Job job) {
    if (job.awaits().lists() == 0) {
      await(job, job.awaits().named());
    } else {
      reader.lists(
          job.spec().id(),
          job.awaits(),
          awaited -> await(job, awaited),
          item -> leader.batcher().known(item.key(), item.version()));
    }
  }

  private void await(Job job, List<JobId> awaited) {
    if (held(job.spec().id()).filter(found -> found == job).isEmpty()) {
      return;
    }
    chains.await(job, awaited);
    awaited.forEach(this::look);
  }

  /** What is active is known to this leader, all else is over or will be shown by the watch. */
  private void look(JobId need) {
    DependencyResolver.End end = ends.get(need);
    Optional<Job> open = leader.known(need);
    if (end != null) {
      chains.ended(need, end);
    } else if (open.isEmpty()) {
      reader.end(need);
    } else if (open.get().cancelled()) {
      chains.cancelled(need);
    }
  }

  /** The stored record of a held job changed. */
  public void update(Job job, JobRecord record) {
    job.update(record);
    if (job.state() == Job.State.CANCELLING) {
      chains.leave(job.spec().id());
      cancelled(job);
    }
  }

  /** A cancellation is stored. */
  public void cancelledWith(JobId job) {
    chains.cancelled(job);
  }

  public void ended(Job job, long atMillis) {
    DependencyResolver.End end = new DependencyResolver.End(job.endPhase(), atMillis);
    ends.put(job.spec().id(), end);
    chains.ended(job.spec().id(), end);
  }

  public void drop(JobId job) {
    chains.leave(job);
  }

  @Override
  public void released(Job job) {
    leader.take(job);
  }

  @Override
  public void cancelled(Job job) {
    leader.take(job);
    leader.settle(job);
  }

  /** Before jobs are ranked. */
  public void inherit() {
    MonotonicTime now = context.loop().now();
    if (chains.changed() || now.secondsSince(inheritedAt) >= INHERIT_SECONDS) {
      inheritedAt = now;
      chains.inherit(this::open, context.runTimes()::expectedSeconds);
    }
  }

  private Optional<Job> open(JobId job) {
    return Optional.ofNullable(leader.jobs().get(job));
  }

  /** Held jobs that should be let go within the horizon. */
  public List<DependencyResolver.Soon> soon(double horizon) {
    return chains.soon(horizon, this::open, this::endsIn, context.runTimes()::expectedSeconds);
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
      left = Math.max(left, RunTimeEstimator.left(expected, ran));
    }
    return left;
  }
}
