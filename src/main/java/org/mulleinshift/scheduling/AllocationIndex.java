package org.mulleinshift.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.TaskId;

/**
 * Indexes the task assignments of a term by machine, with the resources that they use on each, and
 * by shard those that are not on a machine yet. Updated with every change, so that a scheduling
 * cycle does not have to visit every task.
 */
public final class AllocationIndex {
  /** The tasks on one machine, and the sum of what they request. */
  private static final class MachineLoad {
    private final Map<TaskId, TaskAssignment> tasks = new LinkedHashMap<>();
    private Resources used = Resources.ZERO;
  }

  private final Map<MachineId, MachineLoad> machines = new HashMap<>();
  private final Map<ShardId, Map<TaskId, TaskAssignment>> unplaced = new HashMap<>();

  /**
   * Removes an assignment from the index. Call this before the assignment changes, since it is
   * found by its current machine or shard.
   */
  public void remove(TaskAssignment assignment) {
    if (assignment.state() == TaskAssignment.State.ENDED) {
      return;
    }
    TaskId task = assignment.task();
    if (assignment.machine().isEmpty()) {
      Map<TaskId, TaskAssignment> ofShard = unplaced.get(assignment.shard());
      if (ofShard != null) {
        ofShard.remove(task, assignment);
      }
      return;
    }
    MachineId machine = assignment.machine().get();
    MachineLoad load = machines.get(machine);
    if (load != null && load.tasks.remove(task, assignment)) {
      load.used = load.used.minus(assignment.perTask());
      if (load.tasks.isEmpty()) {
        machines.remove(machine);
      }
    }
  }

  /** Adds an assignment to the index, after it has changed; an ended one is not indexed. */
  public void add(TaskAssignment assignment) {
    if (assignment.state() == TaskAssignment.State.ENDED) {
      return;
    }
    TaskId task = assignment.task();
    if (assignment.machine().isEmpty()) {
      unplaced
          .computeIfAbsent(assignment.shard(), key -> new LinkedHashMap<>())
          .put(task, assignment);
      return;
    }
    MachineLoad load =
        machines.computeIfAbsent(assignment.machine().get(), key -> new MachineLoad());
    if (load.tasks.put(task, assignment) == null) {
      load.used = load.used.plus(assignment.perTask());
    }
  }

  /** The resources that the tasks on a machine use; zero if there are none. */
  Resources usedResources(MachineId machine) {
    MachineLoad load = machines.get(machine);
    return load == null ? Resources.ZERO : load.used;
  }

  /** The assignments of the tasks on a machine; empty if there are none. */
  public Collection<TaskAssignment> assignmentsOn(MachineId machine) {
    MachineLoad load = machines.get(machine);
    return load == null ? List.of() : load.tasks.values();
  }

  /** The assignments of a shard that its owner has not placed on a machine yet. */
  Collection<TaskAssignment> unplacedAssignments(ShardId shard) {
    return unplaced.getOrDefault(shard, Map.of()).values();
  }

  /**
   * Whether the machine has a task, or may get one since the owner of its shard still has tasks to
   * place.
   */
  public boolean mayHaveTasks(MachineId machine, ShardId shard) {
    return machines.containsKey(machine) || !unplacedAssignments(shard).isEmpty();
  }
}
