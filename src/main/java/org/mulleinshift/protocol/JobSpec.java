package org.mulleinshift.protocol;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * A job as its user submitted it.
 *
 * @param id chosen by the user
 * @param jobClass class of jobs with the same service-level objectives
 * @param team whose quota its tasks count against
 * @param kind what becomes of its tasks
 * @param priority decides which tasks it may preempt
 * @param taskCount number of tasks
 * @param perTask resources of each task
 * @param image that a machine must have before a task can start
 * @param imageGb size of the image
 * @param machineTypes allowed types; empty: any
 * @param zone the only allowed zone; empty: any
 * @param requiresSingleZone whether all tasks must be in one zone
 * @param requiresSpread whether at most half of the tasks, rounded up, may be in one zone
 * @param spotAllowed whether the tasks may run on spot machines
 * @param estimateSeconds the user's estimate of a task's run time
 * @param checkpointIntervalSeconds progress between two checkpoints; 0: a task saves none
 * @param saveSeconds time that a task needs to save when it is stopped
 * @param deadlineSeconds from submission to completion; empty: no deadline
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

  /** Whether tasks may run on machines of the type. */
  public boolean allowsType(MachineTypeId type) {
    return machineTypes.isEmpty() || machineTypes.get().contains(type);
  }

  /** Whether tasks may run in the zone. */
  public boolean allowsZone(ZoneId candidate) {
    return zone.isEmpty() || zone.get().equals(candidate);
  }
}
