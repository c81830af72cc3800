package org.mulleinshift.protocol;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * A job as its user submitted it.
 *
 * @param id the job's id, chosen by the user
 * @param jobClass class of jobs that share service-level objectives
 * @param team whose quota its tasks count against
 * @param kind how its tasks are started and when they end
 * @param priority determines which tasks it may preempt
 * @param taskCount number of tasks
 * @param perTask resources of each task
 * @param image the image that must be on a machine before a task can start there
 * @param imageGb size of the image in GB
 * @param machineTypes allowed machine types; empty: any
 * @param zone the only allowed zone; empty: any
 * @param requiresSingleZone whether all tasks must be in one zone
 * @param requiresSpread whether at most half of the tasks, rounded up, may be in one zone
 * @param spotAllowed whether the tasks may run on spot machines
 * @param estimateSeconds the user's estimate of a task's run time
 * @param checkpointIntervalSeconds run time between two checkpoints; 0: the tasks save none
 * @param saveSeconds time that a task needs to save a checkpoint when it is stopped
 * @param deadlineSeconds time from submission until the job should be complete; empty: no deadline
 */
public record JobSpec(
    JobId id,
    String jobClass,
    TeamId team,
    JobKind kind,
    Priority priority,
    int taskCount,
    Resources perTask,
    String image,
    double imageGb,
    Optional<List<MachineTypeId>> machineTypes,
    Optional<ZoneId> zone,
    boolean requiresSingleZone,
    boolean requiresSpread,
    boolean spotAllowed,
    double estimateSeconds,
    double checkpointIntervalSeconds,
    double saveSeconds,
    OptionalDouble deadlineSeconds) {

  /** Whether the job's tasks may run on machines of the type. */
  public boolean allowsType(MachineTypeId type) {
    return machineTypes.isEmpty() || machineTypes.get().contains(type);
  }

  /** Whether the job's tasks may run in the zone. */
  public boolean allowsZone(ZoneId candidate) {
    return zone.isEmpty() || zone.get().equals(candidate);
  }
}
