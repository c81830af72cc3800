package org.mulleinshift.controller;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.mulleinshift.memory.BoundedMap;
import org.mulleinshift.protocol.JobId;

/** The active jobs that this controller knows to be cancelled. */
final class CancelledJobs {
  private static final int MAX_ANNOUNCED = 4096;

  private final Set<JobId> jobs = new HashSet<>();

  /**
   * Jobs whose cancellation was announced by another controller. Bounded, since {@link #remove} may
   * have been called before the announcement arrived and is then not called again.
   */
  private final Set<JobId> announced = BoundedMap.set(MAX_ANNOUNCED);

  private final Consumer<JobId> onCancelled;

  /**
   * Creates an empty set.
   *
   * @param onCancelled called when a job is added; called again if a job that was announced is then
   *     found cancelled in the store
   */
  CancelledJobs(Consumer<JobId> onCancelled) {
    this.onCancelled = onCancelled;
  }

  /** Adds a job whose cancellation is in the store; it may have been added before. */
  void add(JobId job) {
    if (jobs.add(job)) {
      onCancelled.accept(job);
    }
  }

  /** Adds a job whose cancellation another controller announced; the store's watch may lag. */
  void addAnnounced(JobId job) {
    if (!contains(job)) {
      announced.add(job);
      onCancelled.accept(job);
    }
  }

  /** Removes a job that is no longer active. */
  void remove(JobId job) {
    jobs.remove(job);
    announced.remove(job);
  }

  /** Returns whether the job is known to be cancelled. */
  boolean contains(JobId job) {
    return jobs.contains(job) || announced.contains(job);
  }
}
