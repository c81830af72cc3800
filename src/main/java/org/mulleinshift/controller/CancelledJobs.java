package org.mulleinshift.controller;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.mulleinshift.memory.BoundedMap;
import org.mulleinshift.protocol.JobId;

/** The active jobs that are known to be cancelled. */
final class CancelledJobs {
  private static final int MAX_ANNOUNCED = 4096;

  private final Set<JobId> jobs = new HashSet<>();

  /** Announced by other controllers; the store may have shown their end before. */
  private final Set<JobId> announced = BoundedMap.set(MAX_ANNOUNCED);

  private final Consumer<JobId> onCancelled;

  /**
   * No cancelled job yet.
   *
   * @param onCancelled runs once for each job
   */
  CancelledJobs(Consumer<JobId> onCancelled) {
    this.onCancelled = onCancelled;
  }

  /** A job is cancelled; it may be known already. */
  void add(JobId job) {
    if (jobs.add(job)) {
      onCancelled.accept(job);
    }
  }

  /** Another controller says that a job is cancelled, maybe before the store shows it. */
  void addAnnounced(JobId job) {
    if (!contains(job)) {
      announced.add(job);
      onCancelled.accept(job);
    }
  }

  /** A job is active no longer. */
  void remove(JobId job) {
    jobs.remove(job);
    announced.remove(job);
  }

  /** Whether the job is known to be cancelled. */
  boolean contains(JobId job) {
    return jobs.contains(job) || announced.contains(job);
  }
}
