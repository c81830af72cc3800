package org.mulleinshift.dependencies;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.ToDoubleFunction;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.Priority;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Jobs that wait for others to be done, for one term. A job is let go once the end of everything
 * that it awaits is stored as done, and cancelled once one of them is stored as cancelled. What is
 * not known is not done.
 */
public final class DependencyResolver {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyResolver.class);

  /** The last of a job's tasks takes longer than the mean. */
  private static final double SPREAD = 1.3;

  /** From a job's last end until the next one's tasks run: storing, telling, its image. */
  private static final double HAND_ON_SECONDS = 5;

  /** How a job ended, as stored; the time of day of one that was done. */
  public record End(JobPhase phase, long atMillis) {}

  /** What becomes of jobs that waited. */
  public interface Listener {
    /** All that it awaited is done. */
    void onReleased(Job job);

    /** Something that it needs was cancelled, and so is it. */
    void onCancelled(Job job);
  }

  /** A job that should be released within some time. */
  public record ExpectedRelease(Job job, double inSeconds) {}

  private final DependencyGraph graph = new DependencyGraph();
  private final Map<JobId, Job> waitingJobs = new LinkedHashMap<>();
  private final Map<JobId, Long> lastEnds = new HashMap<>();
  private final Map<JobId, Job> heirs = new HashMap<>();
  private final Listener listener;
  private final LongSupplier wallMillis;
  private boolean changed;

  public DependencyResolver(Listener listener, LongSupplier wallMillis) {
    this.listener = listener;
    this.wallMillis = wallMillis;
  }

  /** A job that waits; what it awaits is not looked at before {@link #await}. */
  public void await(Job job) {
    waitingJobs.put(job.spec().id(), job);
  }

  public Optional<Job> waitingJobs(JobId job) {
    return Optional.ofNullable(waitingJobs.get(job));
  }

  public Collection<Job> waitingJobs() {
    return waitingJobs.values();
  }

  /** It waits no more, for whatever reason. */
  public void remove(JobId job) {
    waitingJobs.remove(job);
    lastEnds.remove(job);
    graph.leave(job);
    changed = true;
  }

  /** What a job that is held awaits. */
  public void addDependencies(Job job, Collection<JobId> awaited) {
    graph.add(job.spec().id(), awaited);
    changed = true;
  }

  /** The end of a job is stored. */
  public void onEnded(JobId need, End end) {
    if (end.phase() == JobPhase.DONE) {
      onDone(need, end.atMillis());
    } else {
      onCancelled(need);
    }
  }

  private void onDone(JobId need, long atMillis) {
    graph.neededBy(need).forEach(job -> lastEnds.merge(job, atMillis, Math::max));
    for (JobId id : graph.done(need)) {
      Job job = waitingJobs.get(id);
      long last = lastEnds.getOrDefault(id, atMillis);
      remove(id);
      if (job != null) {
        job.release(last, wallMillis.getAsLong());
        listener.onReleased(job);
      }
    }
    changed = true;
  }

  /** Cancelled, as stored: whatever needs it ends the same way, none of it has a task. */
  public void onCancelled(JobId need) {
    List<JobId> fallen = graph.dependants(need);
    if (!fallen.isEmpty()) {
      LOG.info("{} is cancelled, and {} that need it", need, fallen.size());
    }
    List<Job> jobs = new ArrayList<>();
    for (JobId id : fallen) {
      waitingJobs(id).ifPresent(jobs::add);
      remove(id);
    }
    for (Job job : jobs) {
      job.cancel();
      listener.onCancelled(job);
    }
  }

  /** Jobs that wait and what they await changed since this was last asked. */
  public boolean changed() {
    boolean was = changed;
    changed = false;
    return was;
  }

  /**
   * Hands priority and latest end up the chains, along the longest way.
   *
   * @param open a job that is not over and does not wait
   * @param expectedSeconds of one of a job's tasks
   */
  public void propagatePriorities(
      Function<JobId, Optional<Job>> open, ToDoubleFunction<Job> expectedSeconds) {
    Map<JobId, Job.Inherited> inherited = new HashMap<>();
    Map<JobId, Job> next = new HashMap<>();
    graph.visitLastFirst(
        id -> {
          Optional<Job> found = waitingJobs(id).or(() -> open.apply(id));
          if (found.isEmpty()) {
            return;
          }
          Job job = found.get();
          next.put(id, job);
          job.inherit(inherited.getOrDefault(id, Job.Inherited.NONE));
          double path = SPREAD * expectedSeconds.applyAsDouble(job) + HAND_ON_SECONDS;
          Job.Inherited given =
              new Job.Inherited(
                  job.priority(),
                  job.hasDeadline()
                      ? job.deadlineMillis() - (long) (1000 * path)
                      : Job.Inherited.NONE.deadlineMillis());
          graph
              .needs(id)
              .forEach(need -> inherited.merge(need, given, DependencyResolver::stricter));
        });
    // What nothing needs any more is as its user submitted it; what was let go keeps its place.
    heirs.forEach(
        (id, job) -> {
          if (!next.containsKey(id) && job.state() == Job.State.ACTIVE) {
            job.inherit(Job.Inherited.NONE);
          }
        });
    heirs.clear();
    heirs.putAll(next);
  }

  private static Job.Inherited stricter(Job.Inherited one, Job.Inherited other) {
    Priority priority = one.priority().above(other.priority()) ? one.priority() : other.priority();
    return new Job.Inherited(priority, Math.min(one.deadlineMillis(), other.deadlineMillis()));
  }

  /** Held jobs, each after all that it awaits. */
  private List<Job> heldFirstToLast() {
    List<Job> jobs = new ArrayList<>();
    graph.visitLastFirst(id -> waitingJobs(id).ifPresent(jobs::add));
    Collections.reverse(jobs);
    return jobs;
  }

  /**
   * Jobs that should be let go within the horizon, by when.
   *
   * @param endsIn seconds until a job that does not wait should end
   */
  public List<ExpectedRelease> expectedReleases(
      double horizon,
      Function<JobId, Optional<Job>> open,
      ToDoubleFunction<Job> endsIn,
      ToDoubleFunction<Job> expectedSeconds) {
    List<ExpectedRelease> found = new ArrayList<>();
    Map<JobId, Double> releases = new HashMap<>();
    for (Job job : heldFirstToLast()) {
      double release = 0;
      for (JobId need : graph.needs(job.spec().id())) {
        Job waiting = waitingJobs.get(need);
        double end;
        if (waiting != null) {
          end =
              releases.getOrDefault(need, Double.MAX_VALUE)
                  + SPREAD * expectedSeconds.applyAsDouble(waiting)
                  + HAND_ON_SECONDS;
        } else {
          end = open.apply(need).map(endsIn::applyAsDouble).orElse(Double.MAX_VALUE);
        }
        release = Math.max(release, end);
      }
      releases.put(job.spec().id(), release);
      if (release <= horizon) {
        found.add(new ExpectedRelease(job, release));
      }
    }
    return found;
  }
}
