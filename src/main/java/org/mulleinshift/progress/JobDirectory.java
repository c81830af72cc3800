package org.mulleinshift.progress;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.Optional;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.JobId;

/** The jobs of the current term, whose progress is persisted. */
public interface JobDirectory {
  /**
   * Returns a job that has not ended, also one that waits for its dependencies; empty if there is
   * none with that id or it is quarantined.
   */
  Optional<Job> findJob(JobId id);

  /** Returns the jobs that don't wait for dependencies and whose end is not yet stored. */
  Collection<Job> activeJobs();

  /**
   * Quarantines a job because part of its stored state can't be read: from now on nothing of it is
   * started, ended or deleted.
   *
   * @param record the job's stored record, which shows the resources that it may use
   * @param reason what can't be read, for the log
   */
  void quarantineJob(JobId id, JsonNode record, String reason);
}
