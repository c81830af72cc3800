package org.mulleinshift.dependencies;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobId;

/**
 * The active jobs that depend on one whose cancellation is stored, directly or through others. They
 * are cancelled with it, though no leader may have stored that yet, and no client may be answered
 * that they wait. Dependencies that are stored in lists of their own are not followed.
 */
public final class CascadingCancellations {
  private final Map<JobId, List<JobId>> dependencies = new HashMap<>();
  private final Set<JobId> cancelledActive = new HashSet<>();

  /** Jobs that ended as cancelled, while their dependents may not have. */
  private final Set<JobId> cancelledEnded = new HashSet<>();

  private final Set<JobId> cancelledDependents = new HashSet<>();
  private boolean changed;

  /** An active job as it is stored now. */
  public void onActive(JobRecord job) {
    if (!job.dependencies().isEmpty()) {
      dependencies.put(job.id(), job.dependencies().named());
      changed = true;
    }
    if (job.cancelled()) {
      changed |= cancelledActive.add(job.id());
    }
  }

  /** A job that was active has ended. */
  public void onNoLongerActive(JobId job) {
    boolean cancelledAsDependent = contains(job);
    boolean cancelled = cancelledActive.remove(job) || cancelledAsDependent;
    boolean hadDependencies = dependencies.remove(job) != null;
    changed |= hadDependencies || cancelled;
    if (dependencies.isEmpty()) {
      cancelledEnded.clear();
    } else if (cancelled) {
      cancelledEnded.add(job);
    }
  }

  /** Whether the job is cancelled because of one that it depends on. */
  public boolean contains(JobId job) {
    boolean anyCancelled = !cancelledActive.isEmpty() || !cancelledEnded.isEmpty();
    if (!anyCancelled || !dependencies.containsKey(job)) {
      return false;
    }
    if (changed) {
      changed = false;
      recompute();
    }
    return cancelledDependents.contains(job);
  }

  private void recompute() {
    Map<JobId, Set<JobId>> dependents = dependents();
    cancelledEnded.retainAll(dependents.keySet());
    cancelledDependents.clear();
    Deque<JobId> unvisited = new ArrayDeque<>(cancelledActive);
    unvisited.addAll(cancelledEnded);
    while (!unvisited.isEmpty()) {
      for (JobId job : dependents.getOrDefault(unvisited.poll(), Set.of())) {
        if (cancelledDependents.add(job)) {
          unvisited.add(job);
        }
      }
    }
  }

  private Map<JobId, Set<JobId>> dependents() {
    Map<JobId, Set<JobId>> dependents = new HashMap<>();
    dependencies.forEach(
        (job, jobDependencies) ->
            jobDependencies.forEach(
                dependency ->
                    dependents.computeIfAbsent(dependency, key -> new HashSet<>()).add(job)));
    return dependents;
  }
}
