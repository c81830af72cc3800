package org.mulleinshift.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.placement.BinPacker;
import org.mulleinshift.placement.MachineCapacity;
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

/** The room that a cycle gives out, and the tasks that wait at owners for more of it. */
public final class AvailableCapacity {
  /** Tasks that wait at an owner for room. */
  record QueuedAtOwner(ShardId shard, ResourceRequest request, int count) {}

  private final ClusterState state;
  private final List<QueuedAtOwner> queuedAtOwners = new ArrayList<>();

  /** What a term's cluster has available. */
  public AvailableCapacity(ClusterState state) {
    this.state = state;
  }

  /** What was assigned and found no room when the rooms were last asked for. */
  List<QueuedAtOwner> queuedAtOwners() {
    return queuedAtOwners;
  }

  /**
   * Free room as the owners report it, less what is assigned and not yet placed. Machines that have
   * less left than the least that anybody asks for are left out.
   */
  List<MachineCapacity> collect(Resources minAsked) {
    List<MachineCapacity> capacities = new ArrayList<>();
    queuedAtOwners.clear();
    for (ShardView shard : state.shards().all()) {
      Map<JobId, Integer> unplaced = new LinkedHashMap<>();
      for (TaskAssignment assignment : state.allocations().unplaced(shard.id())) {
        unplaced.merge(assignment.task().job(), 1, Integer::sum);
      }
      Resources least = minAsked;
      for (JobId job : unplaced.keySet()) {
        least =
            UnschedulableRequests.minimum(
                least, state.jobs().find(job).orElseThrow().spec().perTask());
      }
      List<MachineCapacity> found = ofShard(shard, least);
      unplaced.forEach(
          (job, count) -> {
            ResourceRequest need = ResourceRequest.of(state.jobs().find(job).orElseThrow().spec());
            int left = count - BinPacker.fill(need, count, found);
            if (left > 0) {
              queuedAtOwners.add(new QueuedAtOwner(shard.id(), need, left));
            }
          });
      capacities.addAll(found);
    }
    return capacities;
  }

  /** The rooms of a shard's machines that have at least so much left. */
  public List<MachineCapacity> ofShard(ShardView shard, Resources least) {
    List<MachineCapacity> found = new ArrayList<>();
    if (shard.hasStatus()) {
      for (MachineId id : shard.machines().keySet()) {
        ofMachine(shard, id, least).ifPresent(found::add);
      }
    }
    return found;
  }

  /** What is left of a machine, if it may take tasks and has at least so much. */
  Optional<MachineCapacity> ofMachine(ShardView shard, MachineId id, Resources least) {
    MachineRecord record = shard.machines().get(id);
    MachineType type = record == null ? null : state.catalog().type(record.type()).orElse(null);
    if (type == null || !record.up() || !shard.hasStatus()) {
      return Optional.empty();
    }
    // Most machines of a busy fleet are full: what else it takes to know them is asked later.
    Resources free = type.size().minus(state.allocations().used(id));
    if (!least.fitsInto(free)) {
      return Optional.empty();
    }
    return shard
        .statusOf(id)
        .filter(report -> usable(id, report))
        .map(
            report ->
                new MachineCapacity(
                    id, shard.id(), shard.zone(), type, record.spot(), free, images(id, report)));
  }

  /** What the machine has, and what its tasks fetch: like tasks then share the fetch. */
  private Set<String> images(MachineId machine, MachineStatus report) {
    Set<String> images = new HashSet<>(report.getImages());
    for (TaskAssignment assignment : state.allocations().on(machine)) {
      Job job = state.jobs().find(assignment.task().job()).orElse(null);
      if (job != null) {
        images.add(job.spec().image());
      }
    }
    return images;
  }

  private boolean usable(MachineId machine, MachineStatus report) {
    return report.getPhase().equals(MachinePhase.CONFIRMED.wireName())
        && !report.getInterrupted()
        && report.getLiveness().equals(OwnedMachine.Liveness.ALIVE.wireName())
        && !state.isCordoned(machine);
  }
}
