package org.mulleinshift.api;

import java.util.List;
import java.util.Set;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobId;

/**
 * What this node knows for certain about all jobs that an active job depends on, directly or
 * indirectly.
 */
sealed interface DependencyVerdict {
  /** Each of them is active and not cancelled, or stored as done. */
  record NoneCancelled() implements DependencyVerdict {}

  /** One of them is cancelled but not stored as ended yet; the leader will cancel the job, too. */
  record Cancelling() implements DependencyVerdict {}

  /** One of them is stored as ended by a cancellation, so the job can only end as cancelled. */
  record Cancelled() implements DependencyVerdict {}

  /**
   * Undecided until these values have been read from the store.
   *
   * @param ends jobs that are not active and whose final phase is not known
   * @param lists active jobs whose dependencies are stored in lists that have not been read
   */
  record Unproven(Set<JobId> ends, List<JobRecord> lists) implements DependencyVerdict {}
}
