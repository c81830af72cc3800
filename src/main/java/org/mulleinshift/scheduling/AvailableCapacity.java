package org.mulleinshift.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.leader.Leader;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.placement.BinPacker;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.placement.UnschedulableRequests;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.peer.MachineStatus;
import org.mulleinshift.sharding.MachinePhase;
import org.mulleinshift.sharding.OwnedMachine;
import org.mulleinshift.sharding.ShardView;

/** The room that a cycle gives out, and the tasks that wait at holders for more of it. */
public final class AvailableCapacity {
  /** Tasks that wait at a holder for room. */
  record Ahead(ShardId block, ResourceRequest need, int count) {}

  private final Leader leader;
  private final MachineTypeCatalog catalog;
  private final List<Ahead> ahead = new ArrayList<>();

  public AvailableCapacity(Leader leader, MachineTypeCatalog catalog) {
    this.leader = leader;
    this.catalog = catalog;
  }

  /** What was delegated and found no room when the rooms were last asked for. */
  List<Ahead> ahead() {
    return ahead;
  }

  /**
   * Free room as the holders report it, less what is delegated and not yet placed. Machines that
   * have less left than the least that anybody asks for are left out.
   */
  List<MachineCapacity> rooms(Resources leastAsked) {
    List<MachineCapacity> rooms = new ArrayList<>();
    ahead.clear();
    for (ShardView block : leader.blocks().values()) {
      Map<JobId, Integer> unplaced = new LinkedHashMap<>();
      for (TaskAssignment delegation : leader.occupancy().unplaced(block.id())) {
        unplaced.merge(delegation.task().job(), 1, Integer::sum);
      }
      Resources least = leastAsked;
      for (JobId job : unplaced.keySet()) {
        least = UnschedulableRequests.least(least, leader.jobs().get(job).spec().perTask());
      }
      List<MachineCapacity> found = roomsOf(block, least);
      unplaced.forEach(
          (job, count) -> {
            ResourceRequest need = ResourceRequest.of(leader.jobs().get(job).spec());
            int left = count - BinPacker.fill(need, count, found);
            if (left > 0) {
              ahead.add(new Ahead(block.id(), need, left));
            }
          });
      rooms.addAll(found);
    }
    return rooms;
  }

  /** The rooms of a block's machines that have at least so much left. */
  public List<MachineCapacity> roomsOf(ShardView block, Resources least) {
    List<MachineCapacity> found = new ArrayList<>();
    if (block.hasReported()) {
      for (MachineId id : block.machines().keySet()) {
        roomOf(block, id, least).ifPresent(found::add);
      }
    }
    return found;
  }

  /** What is left of a machine, if it may take tasks and has at least so much. */
  Optional<MachineCapacity> roomOf(ShardView block, MachineId id, Resources least) {
    MachineRecord record = block.machines().get(id);
    MachineType type = record == null ? null : catalog.type(record.type()).orElse(null);
    if (type == null || !record.up() || !block.hasReported()) {
      return Optional.empty();
    }
    // Most machines of a busy fleet are full: what else it takes to know them is asked later.
    Resources free = type.size().minus(leader.occupancy().used(id));
    if (!least.fitsInto(free)) {
      return Optional.empty();
    }
    return block
        .reportOf(id)
        .filter(report -> usable(id, report))
        .map(report -> MachineCapacity.on(block, id, record, type, free, images(id, report)));
  }

  /** What the machine has, and what its tasks fetch: like tasks then share the fetch. */
  private Set<String> images(MachineId machine, MachineStatus report) {
    Set<String> images = new HashSet<>(report.getImages());
    for (TaskAssignment delegation : leader.occupancy().on(machine)) {
      Job job = leader.jobs().get(delegation.task().job());
      if (job != null) {
        images.add(job.spec().image());
      }
    }
    return images;
  }

  private boolean usable(MachineId machine, MachineStatus report) {
    return report.getPhase().equals(MachinePhase.CONFIRMED.wireName())
        && !report.getRecalled()
        && report.getSilence().equals(OwnedMachine.Silence.HEARD.wireName())
        && !leader.closed(machine);
  }
}
