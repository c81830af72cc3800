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
 * Where the delegated tasks are: what they take of each machine, and which of a block are not
 * placed yet. Kept in step with every change, so that a cycle need not look at every task.
 */
public final class AllocationIndex {
  private static final class Load {
    private final Map<TaskId, TaskAssignment> tasks = new LinkedHashMap<>();
    private Resources used = Resources.ZERO;
  }

  private final Map<MachineId, Load> machines = new HashMap<>();
  private final Map<ShardId, Map<TaskId, TaskAssignment>> unplaced = new HashMap<>();

  /** Called before a delegation changes. */
  public void leave(TaskAssignment delegation) {
    if (delegation.state() == TaskAssignment.State.ENDED) {
      return;
    }
    TaskId task = delegation.task();
    if (delegation.machine().isEmpty()) {
      Map<TaskId, TaskAssignment> waiting = unplaced.get(delegation.block());
      if (waiting != null) {
        waiting.remove(task, delegation);
      }
      return;
    }
    MachineId machine = delegation.machine().get();
    Load load = machines.get(machine);
    if (load != null && load.tasks.remove(task, delegation)) {
      load.used = load.used.minus(delegation.perTask());
      if (load.tasks.isEmpty()) {
        machines.remove(machine);
      }
    }
  }

  /** Called after a delegation has changed. */
  public void enter(TaskAssignment delegation) {
    if (delegation.state() == TaskAssignment.State.ENDED) {
      return;
    }
    TaskId task = delegation.task();
    if (delegation.machine().isEmpty()) {
      unplaced
          .computeIfAbsent(delegation.block(), key -> new LinkedHashMap<>())
          .put(task, delegation);
      return;
    }
    Load load = machines.computeIfAbsent(delegation.machine().get(), key -> new Load());
    if (load.tasks.put(task, delegation) == null) {
      load.used = load.used.plus(delegation.perTask());
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

  Collection<TaskAssignment> unplaced(ShardId block) {
    return unplaced.getOrDefault(block, Map.of()).values();
  }

  /** Whether a task is, or may be about to be, on the machine. */
  public boolean busy(MachineId machine, ShardId block) {
    return machines.containsKey(machine) || !unplaced(block).isEmpty();
  }
}
