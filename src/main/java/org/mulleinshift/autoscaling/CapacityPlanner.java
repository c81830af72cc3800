package org.mulleinshift.autoscaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.dependencies.DependencyResolver;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.Machine;
import org.mulleinshift.model.ProvisioningRequest;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.placement.BinPacker;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.placement.UnschedulableRequests;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Priority;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.TeamId;
import org.mulleinshift.protocol.peer.MachineStatus;
import org.mulleinshift.scheduling.ClusterState;
import org.mulleinshift.scheduling.RunTimeEstimator;
import org.mulleinshift.sharding.OwnedMachine;
import org.mulleinshift.sharding.ShardView;
import org.mulleinshift.transport.EventLoop;

/** What a walk starts from: the rooms of machines, booting ones and rentals, and who waits. */
final class CapacityPlanner {
  private final EventLoop loop;
  private final ClusterState state;
  private final Demand demand;
  private final Provisioner provisioner;
  private final BootTimeEstimator bootTimes;
  private final AutoscalerSettings settings;

  CapacityPlanner(
      EventLoop loop,
      ClusterState state,
      Demand demand,
      Provisioner provisioner,
      BootTimeEstimator bootTimes,
      AutoscalerSettings settings) {
    this.loop = loop;
    this.state = state;
    this.demand = demand;
    this.provisioner = provisioner;
    this.bootTimes = bootTimes;
    this.settings = settings;
  }

  /** What a walk found: the shortage, the machines that it used, and the fleet's processors. */
  record Plan(QueueSimulation.Result result, double clusterCpus) {}

  Plan plan(List<QueueSimulation.PendingGroup> waiting, double horizon) {
    List<MachineCapacity> capacities = new ArrayList<>();
    List<QueueSimulation.Release> releases = new ArrayList<>();
    Map<MachineId, MachineCapacity> byMachine = new HashMap<>();
    collectMachines(capacities, releases, byMachine, horizon);
    collectProvisioning(capacities, releases, horizon);
    double cpus = capacities.stream().mapToDouble(capacity -> capacity.size().cpus()).sum();
    collectRunning(byMachine, releases, horizon);
    int steps = settings.simulationSteps();
    return new Plan(QueueSimulation.run(capacities, releases, waiting, horizon, steps), cpus);
  }

  void collectMachines(
      List<MachineCapacity> capacities,
      List<QueueSimulation.Release> releases,
      Map<MachineId, MachineCapacity> byMachine,
      double horizon) {
    for (ShardView shard : state.shards().all()) {
      shard
          .machines()
          .forEach(
              (id, record) -> {
                Optional<MachineType> type = state.catalog().type(record.type());
                if (type.isEmpty()
                    || state.machines().isCordoned(id)
                    || shard.statusOf(id).filter(OwnedMachine::occupied).isPresent()) {
                  return;
                }
                boolean leaving =
                    shard.statusOf(id).filter(MachineStatus::getInterrupted).isPresent();
                if (leaving) {
                  return;
                }
                Resources size = type.get().size();
                Machine known = state.machines().track(id);
                if (!record.up() && overdue(type.get(), known)) {
                  // It may never come, so it is no room.
                  return;
                }
                MachineCapacity capacity =
                    new MachineCapacity(
                        id,
                        shard.id(),
                        shard.zone(),
                        type.get(),
                        record.spot(),
                        record.up() ? size : Resources.ZERO,
                        Set.of());
                capacities.add(capacity);
                byMachine.put(id, capacity);
                if (!record.up()) {
                  // Within the horizon even if its type boots slower than that: a machine on its
                  // way that is no room is rented for again with every resize.
                  double bootLeft = bootTimes.expected(type.get()) - known.heldSeconds(loop.now());
                  double at = Math.min(horizon, Math.max(0, bootLeft));
                  releases.add(new QueueSimulation.Release(at, capacity, size));
                }
              });
    }
  }

  private boolean overdue(MachineType type, Machine machine) {
    BootTimeEstimator.Outlook outlook =
        bootTimes.outlook(type, machine.provisionedAt(), loop.now());
    return outlook == BootTimeEstimator.Outlook.OVERDUE
        || outlook == BootTimeEstimator.Outlook.ABANDONED;
  }

  private void collectProvisioning(
      List<MachineCapacity> capacities, List<QueueSimulation.Release> releases, double horizon) {
    for (ProvisioningRequest request : provisioner.expected()) {
      MachineType type = state.catalog().type(request.type()).orElse(null);
      if (type == null) {
        continue;
      }
      for (int i = 0; i < request.count(); i++) {
        MachineCapacity capacity =
            new MachineCapacity(
                new MachineId(request.name() + "#" + i),
                MachineCapacity.NO_SHARD,
                request.zone(),
                type,
                request.spot(),
                Resources.ZERO,
                Set.of());
        capacities.add(capacity);
        releases.add(new QueueSimulation.Release(horizon, capacity, type.size()));
      }
    }
  }

  /** Tasks that are told to a shard and on no machine yet. */
  private record Unplaced(ResourceRequest need, double expected, int count) {}

  void collectRunning(
      Map<MachineId, MachineCapacity> byMachine,
      List<QueueSimulation.Release> releases,
      double horizon) {
    List<Unplaced> unplaced = new ArrayList<>();
    for (Job job : state.jobs().all()) {
      if (!job.assignments().isEmpty()) {
        collectRunning(job, byMachine, releases, horizon, unplaced);
      }
    }
    // All that is placed takes its room first: then most machines of a busy fleet are full, and
    // need not be looked at again for each job.
    Resources least = UnschedulableRequests.minimumOf(unplaced, Unplaced::need);
    List<MachineCapacity> open = new ArrayList<>();
    for (MachineCapacity capacity : byMachine.values()) {
      if (least.fitsInto(capacity.available())) {
        open.add(capacity);
      }
    }
    UnschedulableRequests unplaceable = new UnschedulableRequests();
    for (Unplaced group : unplaced) {
      if (unplaceable.covers(group.need)) {
        continue;
      }
      int placed =
          BinPacker.fill(
              group.need,
              group.count,
              open,
              (capacity, count) -> {
                if (group.expected <= horizon) {
                  Resources freed = group.need.perTask().times(count);
                  releases.add(new QueueSimulation.Release(group.expected, capacity, freed));
                }
              });
      if (placed < group.count) {
        unplaceable.add(group.need);
      }
    }
  }

  private void collectRunning(
      Job job,
      Map<MachineId, MachineCapacity> byMachine,
      List<QueueSimulation.Release> releases,
      double horizon,
      List<Unplaced> unplaced) {
    double expected = state.runTimes().expectedSeconds(job);
    ResourceRequest need = ResourceRequest.of(job.spec());
    int waiting = 0;
    for (TaskAssignment assignment : job.assignments()) {
      if (assignment.state() == TaskAssignment.State.ENDED) {
        continue;
      }
      if (assignment.machine().isEmpty()) {
        waiting++;
        continue;
      }
      MachineCapacity capacity = byMachine.get(assignment.machine().get());
      if (capacity != null) {
        capacity.allocate(need);
        double ran =
            assignment.runningSince().map(since -> loop.now().secondsSince(since)).orElse(0.0);
        double left = RunTimeEstimator.remaining(expected, ran);
        if (left <= horizon) {
          releases.add(new QueueSimulation.Release(left, capacity, need.perTask()));
        }
      }
    }
    if (waiting > 0) {
      unplaced.add(new Unplaced(need, expected, waiting));
    }
  }

  /** A job with tasks that wait, and when they join the queue. */
  private record Queued(Job job, double fromSeconds) {}

  /** The queue, and in it, by their priority, jobs that should be let go within the horizon. */
  private List<Queued> queue(double horizon) {
    List<Queued> queue = new ArrayList<>();
    for (Job job : demand.rankedJobs()) {
      if (job.state() == Job.State.ACTIVE && job.waitingCount() > 0) {
        queue.add(new Queued(job, 0));
      }
    }
    for (DependencyResolver.ExpectedRelease soon : demand.expectedReleases(horizon)) {
      int place = 0;
      while (place < queue.size()
          && !soon.job().priority().above(queue.get(place).job().priority())) {
        place++;
      }
      queue.add(place, new Queued(soon.job(), soon.inSeconds()));
    }
    return queue;
  }

  /** Waiting tasks in order, without those that their team's limit holds back. */
  List<QueueSimulation.PendingGroup> pendingGroups(double horizon) {
    Map<TeamId, Resources> use = state.usageByTeam();
    List<QueueSimulation.PendingGroup> groups = new ArrayList<>();
    for (Queued queued : queue(horizon)) {
      Job job = queued.job();
      Resources used = use.getOrDefault(job.spec().team(), Resources.ZERO);
      int count = Math.min(job.waitingCount(), state.quotas().tasksWithinLimit(job, used));
      // A job submitted with a mistake is no demand beyond its next try.
      count = Math.min(count, state.failures().allowedAttempts(job, loop.now()));
      if (count > 0) {
        use.put(job.spec().team(), used.plus(job.spec().perTask().times(count)));
        groups.add(
            new QueueSimulation.PendingGroup(
                ResourceRequest.of(job.spec()),
                state.runTimes().expectedSeconds(job),
                waitsForSpot(job),
                count,
                queued.fromSeconds()));
      }
    }
    return groups;
  }

  /** Work of the lowest priority is worth no dear machine as long as its time allows to wait. */
  private boolean waitsForSpot(Job job) {
    if (job.priority() != Priority.LOW || !job.spec().spotAllowed()) {
      return false;
    }
    double patience = settings.spotOnlySeconds();
    double latest = job.deadlineMillis() - 2000 * state.runTimes().expectedSeconds(job);
    double until = Math.min(latest, job.readyMillis() + 1000 * patience);
    return loop.wallMillis() < until;
  }

  /** The types that waiting tasks could use. */
  Set<MachineTypeId> typesFor(List<QueueSimulation.PendingGroup> waiting) {
    Set<MachineTypeId> types = new HashSet<>();
    for (QueueSimulation.PendingGroup group : waiting) {
      state.catalog().types().values().stream()
          .filter(type -> group.request().fits(type))
          .forEach(type -> types.add(type.id()));
    }
    return types;
  }
}
