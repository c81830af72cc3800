package org.mulleinshift.api;

import org.mulleinshift.model.JobRecord;
import org.mulleinshift.protocol.JobPhase;

/** What is certain about a job at the moment it was read. */
sealed interface JobStatus {
  /** Accepted and not yet stored as ended. */
  record Active(JobRecord job) implements JobStatus {}

  /** Done or cancelled; this never changes again. */
  record Ended(JobPhase phase) implements JobStatus {}

  /** No node has accepted a job of this id. */
  record NeverAccepted() implements JobStatus {}

  /** The status could not be read. */
  record Unknown() implements JobStatus {}
}
