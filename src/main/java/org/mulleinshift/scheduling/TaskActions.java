package org.mulleinshift.scheduling;

import org.mulleinshift.model.Job;
import org.mulleinshift.model.TaskAssignment;

/** What a scheduling cycle has decided, to be carried out by the leader. */
public interface TaskActions {
  /** A task was assigned: this has to be stored before it is sent to the shard's owner. */
  void onAssigned(Job job, int taskIndex);

  /** A task should be stopped, to be preempted. */
  void requestStop(TaskAssignment assignment);
}
