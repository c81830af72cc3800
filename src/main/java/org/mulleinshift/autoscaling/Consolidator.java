package org.mulleinshift.autoscaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
import org.mulleinshift.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drains the most expensive machines whose tasks would fit into the capacity left on the others.
 * Tasks are not moved: they end on the machine that they run on.
 */
final class Consolidator {
  private static final Logger LOG = LoggerFactory.getLogger(Consolidator.class);

  /** A run counts at most one machine as surplus, plus one for each this many candidates. */
  private static final int CANDIDATES_PER_DRAIN = 24;

  /** Maximum number of trials per run: the cost of each grows with the size of the cluster. */
  private static final int MAX_TRIALS = 16;

  /**
   * Reserved capacity must be available this many times over before a machine counts as surplus.
   */
  private static final int RESERVATION_FACTOR = 2;

  private final EventLoop loop;
  private final ClusterState state;
  private final CapacityPlanner planner;
  private final AutoscalerSettings settings;

  Consolidator(
      EventLoop loop, ClusterState state, CapacityPlanner planner, AutoscalerSettings settings) {
    this.loop = loop;
    this.state = state;
    this.planner = planner;
    this.settings = settings;
  }

  /** How many more machines the current run may try, and may count as surplus. */
  private static final class Budget {
    private int trials = MAX_TRIALS;
    private int drains;

    Budget(int candidates) {
      this.drains = 1 + candidates / CANDIDATES_PER_DRAIN;
    }

    boolean takeTrial() {
      return drains > 0 && trials-- > 0;
    }

    void takeDrain() {
      drains--;
    }
  }

  /**
   * Drains machines that have been surplus for long enough. Types that tasks wait for are left
   * alone. Tasks that only fit a large type that has run out do not keep machines of smaller types
   * from being drained.
   *
   * @param typesInDemand types that waiting tasks could use
   */
  void run(Set<MachineTypeId> typesInDemand) {
    if (typesInDemand.containsAll(state.catalog().types().keySet())) {
      return;
    }
    Map<MachineId, MachineCapacity> capacities = planner.currentCapacity().byMachine();
    if (!reserve(capacities)) {
      return;
    }
    List<MachineCapacity> candidates = candidates(capacities, typesInDemand);
    Budget budget = new Budget(candidates.size());
    for (MachineCapacity candidate : candidates) {
      drainIfSurplus(candidate, capacities, budget);
    }
  }

  /**
   * Allocates the reserved capacity {@link #RESERVATION_FACTOR} times over; returns false if not
   * all of it is available.
   */
  private boolean reserve(Map<MachineId, MachineCapacity> capacities) {
    for (CapacityReservation.Reservation reservation :
        state.reservation().reservations(loop.now())) {
      int count = RESERVATION_FACTOR * reservation.count();
      if (BinPacker.placeTasks(reservation.request(), count, capacities.values()) < count) {
        return false;
      }
    }
    return true;
  }

  /** Returns the machines of types not in demand, the most expensive first. */
  private static List<MachineCapacity> candidates(
      Map<MachineId, MachineCapacity> capacities, Set<MachineTypeId> typesInDemand) {
    List<MachineCapacity> candidates = new ArrayList<>(capacities.values());
    candidates.removeIf(capacity -> typesInDemand.contains(capacity.type()));
    candidates.sort(
        Comparator.comparingDouble(MachineCapacity::drainPriority)
            .reversed()
            .thenComparingDouble(capacity -> -capacity.available().cpus())
            .thenComparing(MachineCapacity::machine));
    return candidates;
  }

  private void drainIfSurplus(
      MachineCapacity candidate, Map<MachineId, MachineCapacity> capacities, Budget budget) {
    Machine machine = state.machines().getOrTrack(candidate.machine());
    boolean surplus =
        isDrainable(machine) && budget.takeTrial() && fitsElsewhere(candidate, capacities);
    if (!surplus) {
      machine.clearSurplus();
      return;
    }
    budget.takeDrain();
    double surplusSeconds = machine.markSurplus(loop.now());
    if (surplusSeconds >= settings.surplusSeconds()) {
      LOG.info("machine drained, machine={} surplus_s={}", candidate.machine(), surplusSeconds);
      machine.drain();
      state.shards().markChanged(candidate.machine());
    }
  }

  private boolean isDrainable(Machine machine) {
    return machine.state() == Machine.State.UP
        && machine.ageSeconds(loop.now()) >= settings.minimumAgeSeconds();
  }

  /**
   * Returns whether the machine's tasks fit on the other machines. If so, allocates them there and
   * removes the machine from the capacities.
   */
  private boolean fitsElsewhere(
      MachineCapacity candidate, Map<MachineId, MachineCapacity> capacities) {
    Map<ResourceRequest, Integer> requests = requestsOn(candidate.machine());
    Resources minimumRequest =
        UnschedulableRequests.minimumOf(requests.keySet(), request -> request);
    Map<MachineId, MachineCapacity> trial = new HashMap<>();
    for (MachineCapacity capacity : capacities.values()) {
      if (capacity != candidate && minimumRequest.fitsInto(capacity.available())) {
        trial.put(capacity.machine(), capacity.copy());
      }
    }
    for (Map.Entry<ResourceRequest, Integer> entry : requests.entrySet()) {
      if (BinPacker.placeTasks(entry.getKey(), entry.getValue(), trial.values())
          < entry.getValue()) {
        return false;
      }
    }
    capacities.remove(candidate.machine());
    capacities.putAll(trial);
    return true;
  }

  /** Returns how many tasks on a machine have each request. */
  private Map<ResourceRequest, Integer> requestsOn(MachineId machine) {
    Map<ResourceRequest, Integer> requests = new LinkedHashMap<>();
    for (TaskAssignment assignment : state.allocations().assignmentsOn(machine)) {
      Job job = state.jobs().find(assignment.task().job()).orElseThrow();
      requests.merge(ResourceRequest.of(job.spec()), 1, Integer::sum);
    }
    return requests;
  }
}
