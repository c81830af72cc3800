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
 * yet. Kept in step with every change, so that a cycle need not look at every task.
 */
public final class AllocationIndex {
  private static final class Load {
    private final Map<TaskId, TaskAssignment> tasks = new LinkedHashMap<>();
    private Resources used = Resources.ZERO;
  }

  private final Map<MachineId, Load> machines = new HashMap<>();
  private final Map<ShardId, Map<TaskId, TaskAssignment>> unplaced = new HashMap<>();

  /** Called before a assignment changes. */
  public void remove(TaskAssignment assignment) {
    if (assignment.state() == TaskAssignment.State.ENDED) {
      return;
    }
    TaskId task = assignment.task();
    if (assignment.machine().isEmpty()) {
      Map<TaskId, TaskAssignment> waiting = unplaced.get(assignment.shard());
      if (waiting != null) {
        waiting.remove(task, assignment);
      }
      return;
    }
    MachineId machine = assignment.machine().get();
    Load load = machines.get(machine);
    if (load != null && load.tasks.remove(task, assignment)) {
      load.used = load.used.minus(assignment.perTask());
      if (load.tasks.isEmpty()) {
        machines.remove(machine);
      }
    }
  }

  /** Called after a assignment has changed. */
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
    Load load = machines.computeIfAbsent(assignment.machine().get(), key -> new Load());
    if (load.tasks.put(task, assignment) == null) {
      load.used = load.used.plus(assignment.perTask());
    }
  }

  Resources used(MachineId machine) {
    Load load = machines.get(machine);
    return load == null ? Resources.ZERO : load.used;
  }

  public Collection<TaskAssignment> on(MachineId machine) {
    Load load = machines.get(machine);
    return load == null ? List.of() : load.tasks.values();
  }

  Collection<TaskAssignment> unplaced(ShardId shard) {
    return unplaced.getOrDefault(shard, Map.of()).values();
  }

  /** Whether a task is, or may be about to be, on the machine. */
  public boolean busy(MachineId machine, ShardId shard) {
    return machines.containsKey(machine) || !unplaced(shard).isEmpty();
  }
}
