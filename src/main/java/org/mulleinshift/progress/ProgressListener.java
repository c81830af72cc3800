package org.mulleinshift.progress;

import java.util.List;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.model.TaskAssignment;

/** Receives what has been stored of jobs. */
public interface ProgressListener {
  /** The job's stored record was read again; it may have changed. */
  void onRecordRead(Job job, JobRecord record);

  /** Progress of the job is stored: it may end, and its tasks may be assigned anew. */
  void onProgressStored(Job job);

  /**
   * The end of the job is stored.
   *
   * @param remaining assignments that were still stored
   * @param atMillis time of day of the end
   */
  void onJobEnded(Job job, List<TaskAssignment> remaining, long atMillis);
}
