package org.mulleinshift.progress;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.Optional;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.JobId;

/** The jobs of the term whose progress is persisted. */
public interface JobDirectory {
  /** A job that is not over, whether it may run or waits for its dependencies. */
  Optional<Job> findJob(JobId id);

  /** Jobs that may run or are about to end. */
  Collection<Job> activeJobs();

  /** Neither starts, ends nor deletes anything of a job: something stored of it can't be read. */
  void quarantineJob(JobId id, JsonNode record, String reason);
}
