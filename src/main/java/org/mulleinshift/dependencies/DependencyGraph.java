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
 * Who awaits whom, of jobs that still wait. An end costs those that awaited it; nothing here walks
 * a chain by recursion, however long it is.
 */
final class DependencyGraph {
  private final Map<JobId, Set<JobId>> needs = new HashMap<>();
  private final Map<JobId, Set<JobId>> neededBy = new HashMap<>();

  void add(JobId job, Collection<JobId> awaited) {
    needs.put(job, new LinkedHashSet<>(awaited));
    for (JobId need : awaited) {
      neededBy.computeIfAbsent(need, key -> new LinkedHashSet<>()).add(job);
    }
  }

  /** What the job still awaits. */
  Set<JobId> needs(JobId job) {
    return Collections.unmodifiableSet(needs.getOrDefault(job, Set.of()));
  }

  Set<JobId> neededBy(JobId job) {
    return Collections.unmodifiableSet(neededBy.getOrDefault(job, Set.of()));
  }

  /** The job was done; tells which jobs awaited nothing else. */
  List<JobId> done(JobId need) {
    List<JobId> free = new ArrayList<>();
    Set<JobId> waiting = neededBy.remove(need);
    for (JobId job : waiting == null ? Set.<JobId>of() : waiting) {
      Set<JobId> left = needs.get(job);
      left.remove(need);
      if (left.isEmpty()) {
        needs.remove(job);
        free.add(job);
      }
    }
    return free;
  }

  /** The job no longer waits, whatever it awaited; jobs that await it still do. */
  void leave(JobId job) {
    Set<JobId> awaited = needs.remove(job);
    for (JobId need : awaited == null ? Set.<JobId>of() : awaited) {
      Set<JobId> others = neededBy.get(need);
      others.remove(job);
      if (others.isEmpty()) {
        neededBy.remove(need);
      }
    }
  }

  /** All that need the job, directly or through others, the nearest first. */
  List<JobId> dependants(JobId job) {
    Set<JobId> found = new LinkedHashSet<>(neededBy(job));
    Deque<JobId> open = new ArrayDeque<>(found);
    while (!open.isEmpty()) {
      for (JobId next : neededBy(open.poll())) {
        if (found.add(next)) {
          open.add(next);
        }
      }
    }
    return List.copyOf(found);
  }

  /**
   * Visits every job that waits or is awaited, each after all that need it. A circle, which no
   * users can make since they name only accepted jobs, is left out.
   */
  void visitLastFirst(Consumer<JobId> visitor) {
    Map<JobId, Integer> left = new HashMap<>();
    Deque<JobId> open = new ArrayDeque<>();
    for (JobId job : needs.keySet()) {
      if (neededBy(job).isEmpty()) {
        open.add(job);
      }
    }
    while (!open.isEmpty()) {
      JobId job = open.poll();
      visitor.accept(job);
      for (JobId need : needs(job)) {
        int others = left.merge(need, 1, Integer::sum);
        if (others == neededBy(need).size()) {
          open.add(need);
        }
      }
    }
  }
}
