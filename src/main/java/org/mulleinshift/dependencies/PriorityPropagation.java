package org.mulleinshift.dependencies;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Priority;

/**
 * Propagates priorities and deadlines from jobs to their dependencies. A job inherits the highest
 * priority of the jobs that wait for it, and a deadline that leaves enough time for its dependents
 * to meet theirs.
 */
final class PriorityPropagation {
  private static final int MILLIS_PER_SECOND = 1000;

  private final DependencyGraph graph;
  private final Function<JobId, Optional<Job>> findUnfinished;
  private final DurationEstimates estimates;

  /** Unfinished jobs of the graph as of the last run. */
  private final Map<JobId, Job> lastVisited = new HashMap<>();

  /**
   * Creates a propagation along a graph.
   *
   * @param findUnfinished finds an unfinished job, whether it waits for dependencies or not
   */
  PriorityPropagation(
      DependencyGraph graph,
      Function<JobId, Optional<Job>> findUnfinished,
      DurationEstimates estimates) {
    this.graph = graph;
    this.findUnfinished = findUnfinished;
    this.estimates = estimates;
  }

  /** Recomputes what each job inherits from its dependents. */
  void run() {
    Map<JobId, Job.InheritedPriority> inherited = new HashMap<>();
    Map<JobId, Job> visited = new HashMap<>();
    graph.visitDependentsFirst(
        id ->
            findUnfinished
                .apply(id)
                .ifPresent(
                    job -> {
                      visited.put(id, job);
                      job.setInheritedPriority(
                          inherited.getOrDefault(id, Job.InheritedPriority.NONE));
                      propagateToDependencies(job, inherited);
                    }));
    resetUnvisited(visited);
    lastVisited.clear();
    lastVisited.putAll(visited);
  }

  private void propagateToDependencies(Job job, Map<JobId, Job.InheritedPriority> inherited) {
    Job.InheritedPriority propagated =
        new Job.InheritedPriority(job.priority(), dependencyDeadlineMillis(job));
    graph
        .dependenciesOf(job.spec().id())
        .forEach(
            dependency -> inherited.merge(dependency, propagated, PriorityPropagation::combine));
  }

  private long dependencyDeadlineMillis(Job job) {
    double pathSeconds = estimates.secondsUntilDependentsRun(job, 0);
    return job.hasDeadline()
        ? job.deadlineMillis() - (long) (MILLIS_PER_SECOND * pathSeconds)
        : Job.InheritedPriority.NONE.deadlineMillis();
  }

  /**
   * Resets active jobs that no waiting job depends on any more to the priority and deadline that
   * they were submitted with. Jobs in other states keep what they inherited.
   */
  private void resetUnvisited(Map<JobId, Job> visited) {
    lastVisited.forEach(
        (id, job) -> {
          if (!visited.containsKey(id) && job.state() == Job.State.ACTIVE) {
            job.setInheritedPriority(Job.InheritedPriority.NONE);
          }
        });
  }

  private static Job.InheritedPriority combine(
      Job.InheritedPriority first, Job.InheritedPriority second) {
    Priority priority =
        first.priority().isAbove(second.priority()) ? first.priority() : second.priority();
    return new Job.InheritedPriority(
        priority, Math.min(first.deadlineMillis(), second.deadlineMillis()));
  }
}
