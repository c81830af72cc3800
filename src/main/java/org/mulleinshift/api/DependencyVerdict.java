package org.mulleinshift.api;

import java.util.List;
import java.util.Set;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobId;

/** What this node can prove of all jobs that an active job depends on, directly or not. */
sealed interface DependencyVerdict {
  /** Each of them is active and not cancelled, or stored as done. */
  record NoneCancelled() implements DependencyVerdict {}

  /** One of them is cancelled and not stored as ended yet; the leader cancels the job with it. */
  record Cancelling() implements DependencyVerdict {}

  /** One of them is stored as ended by a cancellation: the job can't end in another way. */
  record Cancelled() implements DependencyVerdict {}

  /**
   * Something has to be read first.
   *
   * @param ends jobs that are not active, and of which it is not known how they ended
   * @param lists active jobs whose dependencies are stored in lists that were not read
   */
  record Unproven(Set<JobId> ends, List<JobRecord> lists) implements DependencyVerdict {}
}
