package org.mulleinshift.dependencies;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.mulleinshift.protocol.JobId;

/**
 * The graph of unfinished dependencies between jobs. Completing a job takes time proportional to
 * the number of its direct dependents. No method recurses, so a long chain of dependencies cannot
 * overflow the stack.
 */
final class DependencyGraph {
  private final Map<JobId, Set<JobId>> dependencies = new HashMap<>();
  private final Map<JobId, Set<JobId>> dependents = new HashMap<>();

  /** Adds a job that waits for the given dependencies. */
  void add(JobId job, Collection<JobId> jobDependencies) {
    dependencies.put(job, new LinkedHashSet<>(jobDependencies));
    for (JobId dependency : jobDependencies) {
      dependents.computeIfAbsent(dependency, key -> new LinkedHashSet<>()).add(job);
    }
  }

  /** The dependencies that the job still waits for; empty if it does not wait. */
  Set<JobId> dependenciesOf(JobId job) {
    return Collections.unmodifiableSet(dependencies.getOrDefault(job, Set.of()));
  }

  /** The jobs that directly depend on the job and still wait; empty if there are none. */
  Set<JobId> dependentsOf(JobId job) {
    return Collections.unmodifiableSet(dependents.getOrDefault(job, Set.of()));
  }

  /**
   * Removes a job that is done from the graph; returns the dependents that it was the last to
   * block.
   */
  List<JobId> complete(JobId done) {
    List<JobId> released = new ArrayList<>();
    Set<JobId> waiting = dependents.remove(done);
    for (JobId job : waiting == null ? Set.<JobId>of() : waiting) {
      Set<JobId> remaining = dependencies.get(job);
      remaining.remove(done);
      if (remaining.isEmpty()) {
        dependencies.remove(job);
        released.add(job);
      }
    }
    return released;
  }

  /**
   * Removes the dependencies of a job that no longer waits. Its own dependents keep waiting for it.
   */
  void remove(JobId job) {
    Set<JobId> removed = dependencies.remove(job);
    for (JobId dependency : removed == null ? Set.<JobId>of() : removed) {
      Set<JobId> others = dependents.get(dependency);
      others.remove(job);
      if (others.isEmpty()) {
        dependents.remove(dependency);
      }
    }
  }

  /** All jobs that depend on the job, directly or transitively, in breadth-first order. */
  List<JobId> transitiveDependentsOf(JobId job) {
    Set<JobId> found = new LinkedHashSet<>(dependentsOf(job));
    Deque<JobId> unvisited = new ArrayDeque<>(found);
    while (!unvisited.isEmpty()) {
      for (JobId next : dependentsOf(unvisited.poll())) {
        if (found.add(next)) {
          unvisited.add(next);
        }
      }
    }
    return List.copyOf(found);
  }

  /**
   * Visits every job in the graph in reverse topological order: each job after all of its
   * dependents. Jobs on a cycle, and the jobs that they depend on, are not visited. Users cannot
   * create a cycle, since a submission may only name jobs that were accepted before it.
   */
  void visitDependentsFirst(Consumer<JobId> visitor) {
    Map<JobId, Integer> visitedDependents = new HashMap<>();
    Deque<JobId> ready = new ArrayDeque<>();
    for (JobId job : dependencies.keySet()) {
      if (dependentsOf(job).isEmpty()) {
        ready.add(job);
      }
    }
    while (!ready.isEmpty()) {
      JobId job = ready.poll();
      visitor.accept(job);
      for (JobId dependency : dependenciesOf(job)) {
        int visited = visitedDependents.merge(dependency, 1, Integer::sum);
        if (visited == dependentsOf(dependency).size()) {
          ready.add(dependency);
        }
      }
    }
  }
}
