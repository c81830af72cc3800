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
 * Where the assigned tasks are: what they take of each machine, and which of a shard are not placed
 * yet. Updated with every change, so that a cycle need not look at every task.
 */
public final class AllocationIndex {
  /** The tasks on one machine. */
  private static final class MachineLoad {
    private final Map<TaskId, TaskAssignment> tasks = new LinkedHashMap<>();
    private Resources used = Resources.ZERO;
  }

  private final Map<MachineId, MachineLoad> machines = new HashMap<>();
  private final Map<ShardId, Map<TaskId, TaskAssignment>> unplaced = new HashMap<>();

  /** Called before an assignment changes. */
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

  /** Called after an assignment has changed. */
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

  /** What the tasks on a machine take. */
  Resources usedResources(MachineId machine) {
    MachineLoad load = machines.get(machine);
    return load == null ? Resources.ZERO : load.used;
  }

  /** The tasks on a machine. */
  public Collection<TaskAssignment> assignmentsOn(MachineId machine) {
    MachineLoad load = machines.get(machine);
    return load == null ? List.of() : load.tasks.values();
  }

  /** The tasks assigned to a shard whose owner has not placed them yet. */
  Collection<TaskAssignment> unplacedAssignments(ShardId shard) {
    return unplaced.getOrDefault(shard, Map.of()).values();
  }

  /** Whether a task is, or may be about to be, on the machine. */
  public boolean mayHaveTasks(MachineId machine, ShardId shard) {
    return machines.containsKey(machine) || !unplacedAssignments(shard).isEmpty();
  }
}
