package org.mulleinshift.progress;

import java.util.List;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.JobRecord;
import org.mulleinshift.model.TaskAssignment;

/** Is notified when the progress or the end of a job is stored, or its record is read again. */
public interface ProgressListener {
  /** Called when the job's stored record is read again; it may have changed. */
  void onRecordRead(Job job, JobRecord record);

  /** Called when progress of the job is stored: it may end now, or its tasks be assigned again. */
  void onProgressStored(Job job);

  /**
   * Called when the end of the job is stored.
   *
   * @param remaining assignments that the job still had
   * @param endedMillis wall-clock time of the end
   */
  void onJobEnded(Job job, List<TaskAssignment> remaining, long endedMillis);
}
