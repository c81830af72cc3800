package org.mulleinshift.dependencies;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Priority;

/**
 * Passes priorities and deadlines from jobs to their dependencies: a job is as urgent as the most
 * urgent job that waits for it, and its deadline leaves time for the longest path after it.
 */
final class PriorityPropagation {
  private static final int MILLIS_PER_SECOND = 1000;

  private final DependencyGraph graph;
  private final Function<JobId, Optional<Job>> findUnfinished;
  private final DurationEstimates estimates;

  /** Jobs of the latest run that wait or are waited for. */
  private final Map<JobId, Job> lastVisited = new HashMap<>();

  /**
   * The propagation along a graph.
   *
   * @param findUnfinished finds jobs that are not over, waiting or not
   */
  PriorityPropagation(
      DependencyGraph graph,
      Function<JobId, Optional<Job>> findUnfinished,
      DurationEstimates estimates) {
    this.graph = graph;
    this.findUnfinished = findUnfinished;
    this.estimates = estimates;
  }

  /** Computes anew what each job inherits. */
  void run() {
    Map<JobId, Job.Inherited> inherited = new HashMap<>();
    Map<JobId, Job> visited = new HashMap<>();
    graph.visitDependentsFirst(
        id ->
            findUnfinished
                .apply(id)
                .ifPresent(
                    job -> {
                      visited.put(id, job);
                      job.inherit(inherited.getOrDefault(id, Job.Inherited.NONE));
                      propagateToDependencies(job, inherited);
                    }));
    resetUnvisited(visited);
    lastVisited.clear();
    lastVisited.putAll(visited);
  }

  private void propagateToDependencies(Job job, Map<JobId, Job.Inherited> inherited) {
    Job.Inherited propagated = new Job.Inherited(job.priority(), dependencyDeadlineMillis(job));
    graph
        .dependenciesOf(job.spec().id())
        .forEach(
            dependency -> inherited.merge(dependency, propagated, PriorityPropagation::combine));
  }

  private long dependencyDeadlineMillis(Job job) {
    double pathSeconds = estimates.secondsUntilDependentsRun(job, 0);
    return job.hasDeadline()
        ? job.deadlineMillis() - (long) (MILLIS_PER_SECOND * pathSeconds)
        : Job.Inherited.NONE.deadlineMillis();
  }

  /** Jobs that nothing waits for any more are as submitted again; released ones keep theirs. */
  private void resetUnvisited(Map<JobId, Job> visited) {
    lastVisited.forEach(
        (id, job) -> {
          if (!visited.containsKey(id) && job.state() == Job.State.ACTIVE) {
            job.inherit(Job.Inherited.NONE);
          }
        });
  }

  private static Job.Inherited combine(Job.Inherited first, Job.Inherited second) {
    Priority priority =
        first.priority().isAbove(second.priority()) ? first.priority() : second.priority();
    return new Job.Inherited(priority, Math.min(first.deadlineMillis(), second.deadlineMillis()));
  }
}
