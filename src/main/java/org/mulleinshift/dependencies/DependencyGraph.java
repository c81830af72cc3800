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
 * The unfinished dependencies of jobs that wait. The end of a job costs as much as it has direct
 * dependents; no method recurses, however long a path through the graph is.
 */
final class DependencyGraph {
  private final Map<JobId, Set<JobId>> dependencies = new HashMap<>();
  private final Map<JobId, Set<JobId>> dependents = new HashMap<>();

  /** Adds a job that waits for the given ones. */
  void add(JobId job, Collection<JobId> jobDependencies) {
    dependencies.put(job, new LinkedHashSet<>(jobDependencies));
    for (JobId dependency : jobDependencies) {
      dependents.computeIfAbsent(dependency, key -> new LinkedHashSet<>()).add(job);
    }
  }

  /** The jobs that the job still waits for. */
  Set<JobId> dependenciesOf(JobId job) {
    return Collections.unmodifiableSet(dependencies.getOrDefault(job, Set.of()));
  }

  /** The jobs that wait for the job directly. */
  Set<JobId> dependentsOf(JobId job) {
    return Collections.unmodifiableSet(dependents.getOrDefault(job, Set.of()));
  }

  /** The job is done; returns the jobs that waited for nothing else. */
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

  /** The job no longer waits, whatever its dependencies; its own dependents still do. */
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

  /** All jobs that depend on the job, directly or through others, the nearest first. */
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
   * Visits every job that waits or is waited for, each after all of its dependents. A cycle is left
   * out; users cannot make one, since a job may only name jobs that were accepted before.
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
