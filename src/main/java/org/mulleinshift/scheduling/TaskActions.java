package org.mulleinshift.scheduling;

import org.mulleinshift.model.Job;
import org.mulleinshift.model.TaskAssignment;

/** What a scheduling cycle has decided, to be carried out by the leader. */
public interface TaskActions {
  /** A task was assigned: this has to be stored before its owner hears of it. */
  void onAssigned(Job job, int taskIndex);

  /** A task is to stop. */
  void requestStop(TaskAssignment assignment);
}
