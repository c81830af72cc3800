package org.mulleinshift.api;

import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobPhase;

/** A job's status at the moment at which it was read. */
sealed interface JobStatus {
  /** Accepted and not yet stored as ended. */
  record Active(JobRecord job) implements JobStatus {}

  /** Done or cancelled; this is final. */
  record Ended(JobPhase phase) implements JobStatus {}

  /** No controller has accepted a job with this id. */
  record NeverAccepted() implements JobStatus {}

  /** The status could not be read. */
  record Unknown() implements JobStatus {}
}
