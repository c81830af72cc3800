package org.mulleinshift.scheduling;

import org.mulleinshift.model.Job;
import org.mulleinshift.model.TaskAssignment;

/** Carries out the decisions of a scheduling cycle; implemented by the leader. */
public interface TaskActions {
  /**
   * Called when a task was assigned. The assignment must be stored before it is sent to the shard's
   * owner.
   */
  void onAssigned(Job job, int taskIndex);

  /** Requests that the owner stop a task that is preempted. */
  void requestStop(TaskAssignment assignment);
}
