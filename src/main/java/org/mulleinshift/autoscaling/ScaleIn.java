package org.mulleinshift.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.Machine;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.placement.BinPacker;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.placement.UnschedulableRequests;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.scheduling.CapacityReservation;
import org.mulleinshift.scheduling.ClusterState;
import org.mulleinshift.sharding.ShardView;
import org.mulleinshift.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Which machines are returned: only such as are wholly idle, and such as the others can do for. */
final class ScaleIn {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);
  private static final int DRAIN_FRACTION = 24;
  private static final int MAX_TRIALS = 16;

  private final EventLoop loop;
  private final ClusterState state;
  private final CapacityPlanner planner;
  private final MachineReleaser releaser;
  private final Predicate<MachineTypeId> bootDelayed;
  private final AutoscalerSettings settings;

  ScaleIn(
      EventLoop loop,
      ClusterState state,
      CapacityPlanner planner,
      MachineReleaser releaser,
      Predicate<MachineTypeId> bootDelayed,
      AutoscalerSettings settings) {
    this.loop = loop;
    this.state = state;
    this.planner = planner;
    this.releaser = releaser;
    this.bootDelayed = bootDelayed;
    this.settings = settings;
  }

  /** Returns machines that are idle, paid for their least time, and of no use to the walk. */
  void releaseIdle(Set<MachineId> used) {
    double idle = settings.idleSeconds();
    double held = settings.minimumHeldSeconds();
    for (ShardView shard : state.shards().all()) {
      for (Map.Entry<MachineId, MachineRecord> entry : shard.machines().entrySet()) {
        MachineId id = entry.getKey();
        Machine known = state.machines().track(id);
        boolean unused =
            known.state() == Machine.State.DRAINING
                || (!used.contains(id) && known.idleSeconds(loop.now()) >= idle);
        if (entry.getValue().up()
            && unused
            && !bootDelayed.test(entry.getValue().type())
            && known.state() != Machine.State.RETURNING
            && known.heldSeconds(loop.now()) >= held
            && !state.isBusy(id, shard.id())) {
          releaser.release(id, "is idle");
        }
      }
    }
  }

  /** Room ran short: machines that were to go stay. */
  void uncordon(Set<MachineTypeId> wanted) {
    for (ShardView shard : state.shards().all()) {
      for (Map.Entry<MachineId, MachineRecord> entry : shard.machines().entrySet()) {
        if (!wanted.contains(entry.getValue().type())) {
          continue;
        }
        MachineId id = entry.getKey();
        Machine known = state.machines().track(id);
        known.surplusFor(false, loop.now());
        if (known.state() == Machine.State.DRAINING) {
          LOG.info("{} stays", id);
          known.reopen();
          state.shards().markChanged(shard.id());
        }
      }
    }
  }

  /**
   * The dearest machine whose tasks would fit into the room that the others have left takes no new
   * tasks. Tasks end where they are; nothing is moved. Types that tasks wait for are left alone;
   * tasks that only fit a large type, of which there are no more, do not keep the small ones up.
   */
  void consolidate(Set<MachineTypeId> wanted) {
    if (wanted.containsAll(state.catalog().types().keySet())) {
      return;
    }
    double held = settings.minimumHeldSeconds();
    double patience = settings.surplusSeconds();
    Map<MachineId, MachineCapacity> capacities = new HashMap<>();
    planner.collectMachines(new ArrayList<>(), new ArrayList<>(), capacities, 0);
    planner.collectRunning(capacities, new ArrayList<>(), 0);
    for (CapacityReservation.Reservation kept : state.reservation().reservations(loop.now())) {
      if (BinPacker.fill(kept.request(), 2 * kept.count(), capacities.values())
          < 2 * kept.count()) {
        return;
      }
    }
    List<MachineCapacity> candidates = new ArrayList<>(capacities.values());
    candidates.removeIf(capacity -> wanted.contains(capacity.type()));
    candidates.sort(
        Comparator.comparingDouble(MachineCapacity::drainWeight)
            .reversed()
            .thenComparingDouble(capacity -> -capacity.available().cpus())
            .thenComparing(MachineCapacity::machine));
    // A few at a time: each trial costs as much as the fleet is large.
    int trials = MAX_TRIALS;
    int most = 1 + candidates.size() / DRAIN_FRACTION;
    for (MachineCapacity candidate : candidates) {
      Machine known = state.machines().track(candidate.machine());
      boolean old = known.state() == Machine.State.UP && known.heldSeconds(loop.now()) >= held;
      boolean spare = old && most > 0 && trials-- > 0 && fitsElsewhere(candidate, capacities);
      most -= spare ? 1 : 0;
      if (known.surplusFor(spare, loop.now()) >= patience && spare) {
        LOG.info("{} is spare: it takes no new tasks", candidate.machine());
        known.drain();
        state.shards().markChanged(candidate.machine());
      }
    }
  }

  /** Whether the others have room for its tasks; if so, that room is taken and it is left out. */
  private boolean fitsElsewhere(
      MachineCapacity candidate, Map<MachineId, MachineCapacity> capacities) {
    Map<MachineId, MachineCapacity> trial = new HashMap<>();
    Map<ResourceRequest, Integer> needs = new LinkedHashMap<>();
    for (TaskAssignment assignment : state.allocations().on(candidate.machine())) {
      Job job = state.jobs().find(assignment.task().job()).orElseThrow();
      needs.merge(ResourceRequest.of(job.spec()), 1, Integer::sum);
    }
    Resources least = UnschedulableRequests.minimumOf(needs.keySet(), need -> need);
    for (MachineCapacity capacity : capacities.values()) {
      if (capacity != candidate && least.fitsInto(capacity.available())) {
        trial.put(capacity.machine(), capacity.copy());
      }
    }
    for (Map.Entry<ResourceRequest, Integer> need : needs.entrySet()) {
      if (BinPacker.fill(need.getKey(), need.getValue(), trial.values()) < need.getValue()) {
        return false;
      }
    }
    capacities.remove(candidate.machine());
    capacities.putAll(trial);
    return true;
  }
}
