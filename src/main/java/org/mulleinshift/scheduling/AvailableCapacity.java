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
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.peer.MachineStatus;
import org.mulleinshift.sharding.MachineLiveness;
import org.mulleinshift.sharding.MachinePhase;
import org.mulleinshift.sharding.ShardView;

/**
 * Determines the capacity that a scheduling cycle can assign, and the assigned tasks that are
 * queued at owners for lack of capacity.
 */
public final class AvailableCapacity {
  /** Equal tasks that are queued at a shard's owner for lack of capacity. */
  record QueuedAtOwner(ShardId shard, ResourceRequest request, int count) {}

  private final ClusterState state;
  private final List<QueuedAtOwner> queuedAtOwners = new ArrayList<>();

  /**
   * The capacity of one term's cluster.
   *
   * @param state the leader's view of the cluster
   */
  public AvailableCapacity(ClusterState state) {
    this.state = state;
  }

  /**
   * Assigned tasks that did not fit into the available capacity at the last call of {@link
   * #collect}.
   */
  List<QueuedAtOwner> queuedAtOwners() {
    return queuedAtOwners;
  }

  /**
   * Collects the available capacity of all machines that their owners report as usable, less what
   * is assigned to a shard and not placed on a machine yet.
   *
   * @param minRequested the smallest amount of each resource that is requested; machines that have
   *     less available are left out, unless unplaced tasks request less
   */
  List<MachineCapacity> collect(Resources minRequested) {
    List<MachineCapacity> capacities = new ArrayList<>();
    queuedAtOwners.clear();
    for (ShardView shard : state.shards().all()) {
      capacities.addAll(collectShard(shard, minRequested));
    }
    return capacities;
  }

  private List<MachineCapacity> collectShard(ShardView shard, Resources minRequested) {
    Map<JobId, Integer> unplaced = new LinkedHashMap<>();
    for (TaskAssignment assignment : state.allocations().unplacedAssignments(shard.id())) {
      unplaced.merge(assignment.task().job(), 1, Integer::sum);
    }
    Resources min = minRequested;
    for (JobId job : unplaced.keySet()) {
      min = UnschedulableRequests.minimum(min, specOf(job).perTask());
    }
    List<MachineCapacity> capacities = ofShard(shard, min);
    unplaced.forEach((job, count) -> allocateUnplaced(shard, job, count, capacities));
    return capacities;
  }

  private void allocateUnplaced(
      ShardView shard, JobId job, int count, List<MachineCapacity> capacities) {
    ResourceRequest request = ResourceRequest.of(specOf(job));
    int remaining = count - BinPacker.placeTasks(request, count, capacities);
    if (remaining > 0) {
      queuedAtOwners.add(new QueuedAtOwner(shard.id(), request, remaining));
    }
  }

  private JobSpec specOf(JobId job) {
    return state.jobs().find(job).orElseThrow().spec();
  }

  /**
   * The capacities of a shard's usable machines that have at least {@code minAvailable}; empty
   * until the shard's current owner has reported its status.
   */
  public List<MachineCapacity> ofShard(ShardView shard, Resources minAvailable) {
    List<MachineCapacity> found = new ArrayList<>();
    if (shard.hasStatus()) {
      for (MachineId id : shard.machines().keySet()) {
        ofMachine(shard, id, minAvailable).ifPresent(found::add);
      }
    }
    return found;
  }

  /**
   * The available capacity of a machine; empty if it may not take tasks or has less than {@code
   * minAvailable}.
   */
  Optional<MachineCapacity> ofMachine(ShardView shard, MachineId id, Resources minAvailable) {
    MachineRecord record = shard.machines().get(id);
    MachineType type = record == null ? null : state.catalog().type(record.type()).orElse(null);
    if (type == null || !record.up() || !shard.hasStatus()) {
      return Optional.empty();
    }
    // Most machines of a busy cluster are full, so the more expensive checks follow this one.
    Resources available = type.size().minus(state.allocations().usedResources(id));
    if (!minAvailable.fitsInto(available)) {
      return Optional.empty();
    }
    return shard
        .statusOf(id)
        .filter(status -> isUsable(id, status))
        .map(
            status ->
                new MachineCapacity(
                    id,
                    shard.id(),
                    shard.zone(),
                    type,
                    record.spot(),
                    available,
                    images(id, status)));
  }

  /**
   * Images that are cached on the machine, and those of tasks on it, which may still be fetched:
   * tasks with the same image share the fetch.
   */
  private Set<String> images(MachineId machine, MachineStatus status) {
    Set<String> images = new HashSet<>(status.getImages());
    for (TaskAssignment assignment : state.allocations().assignmentsOn(machine)) {
      Job job = state.jobs().find(assignment.task().job()).orElse(null);
      if (job != null) {
        images.add(job.spec().image());
      }
    }
    return images;
  }

  private boolean isUsable(MachineId machine, MachineStatus status) {
    return status.getPhase().equals(MachinePhase.CONFIRMED.wireName())
        && !status.getInterrupted()
        && status.getLiveness().equals(MachineLiveness.ALIVE.wireName())
        && !state.isCordoned(machine);
  }
}
