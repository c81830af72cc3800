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
 * Active jobs that need one whose cancellation is stored, directly or through others: they are
 * cancelled with it, though no leader may have stored that yet. Nobody may be told that they wait.
 * A job whose needs stand in lists of their own is not looked through.
 */
public final class CascadingCancellations {
  private final Map<JobId, List<JobId>> needs = new HashMap<>();
  private final Set<JobId> cancelled = new HashSet<>();

  /** Ended as cancelled, and what needs them may not have. */
  private final Set<JobId> over = new HashSet<>();

  private final Set<JobId> found = new HashSet<>();
  private boolean changed;

  /** An active job as it is stored now. */
  public void onActive(JobRecord job) {
    if (!job.dependencies().isEmpty()) {
      needs.put(job.id(), job.dependencies().named());
      changed = true;
    }
    if (job.cancelled()) {
      changed |= cancelled.add(job.id());
    }
  }

  public void onNoLongerActive(JobId job) {
    boolean orphaned = contains(job);
    boolean fallen = cancelled.remove(job) || orphaned;
    boolean needing = needs.remove(job) != null;
    changed |= needing || fallen;
    if (needs.isEmpty()) {
      over.clear();
    } else if (fallen) {
      over.add(job);
    }
  }

  /** Worked out anew only after a change, and only while something cancelled is not over. */
  public boolean contains(JobId job) {
    if (!needs.containsKey(job) || (cancelled.isEmpty() && over.isEmpty())) {
      return false;
    }
    if (changed) {
      changed = false;
      recompute();
    }
    return found.contains(job);
  }

  private void recompute() {
    Map<JobId, Set<JobId>> neededBy = new HashMap<>();
    needs.forEach(
        (job, all) ->
            all.forEach(need -> neededBy.computeIfAbsent(need, k -> new HashSet<>()).add(job)));
    over.retainAll(neededBy.keySet());
    found.clear();
    Deque<JobId> open = new ArrayDeque<>(cancelled);
    open.addAll(over);
    while (!open.isEmpty()) {
      for (JobId job : neededBy.getOrDefault(open.poll(), Set.of())) {
        if (found.add(job)) {
          open.add(job);
        }
      }
    }
  }
}
