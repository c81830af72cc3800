package org.mulleinshift.autoscaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.mulleinshift.placement.BinPacker;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.placement.UnschedulableRequests;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Resources;

/**
 * Resource estimation as in the paper "Autoscaling High-Throughput Workloads on Container
 * Orchestrators", section IV-B and algorithm 1: simulates the queue step by step over one resource
 * initialization time (the horizon). Tasks that end release their capacity, machines that boot add
 * theirs, and waiting tasks are packed into what is available. The tasks that still wait at the
 * horizon are the shortage.
 */
final class QueueSimulation {
  /** Limits the step of a release far beyond the horizon to the range of an int. */
  private static final double MAX_STEP = 1e6;

  /**
   * The outcome of a simulation.
   *
   * @param shortage the tasks that still wait at the horizon, in queue order
   * @param usedMachines the machines that waiting tasks were packed onto
   */
  record Result(List<PendingGroup> shortage, Set<MachineId> usedMachines) {}

  private final Collection<MachineCapacity> capacities;
  private final List<PendingGroup> waiting;
  private final double horizonSeconds;
  private final int steps;
  private final List<List<CapacityRelease>> releasesByStep = new ArrayList<>();
  private final Resources minimumRequest;
  private final int[] remainingCounts;
  private final Set<MachineId> usedMachines = new HashSet<>();

  private QueueSimulation(
      Collection<MachineCapacity> capacities,
      List<PendingGroup> waiting,
      double horizonSeconds,
      int steps) {
    this.capacities = capacities;
    this.waiting = waiting;
    this.horizonSeconds = horizonSeconds;
    this.steps = steps;
    this.minimumRequest = UnschedulableRequests.minimumOf(waiting, PendingGroup::request);
    this.remainingCounts = waiting.stream().mapToInt(PendingGroup::count).toArray();
    for (int step = 0; step <= steps; step++) {
      releasesByStep.add(new ArrayList<>());
    }
  }

  /**
   * Simulates the queue. Allocates the capacities of the snapshot, which can't be used again.
   *
   * @param snapshot capacity now, and what becomes available within the horizon
   * @param waiting the queue, the most urgent tasks first
   * @param steps number of steps into which the horizon is divided
   */
  static Result run(CapacitySnapshot snapshot, List<PendingGroup> waiting, int steps) {
    QueueSimulation simulation =
        new QueueSimulation(snapshot.capacities(), waiting, snapshot.horizonSeconds(), steps);
    snapshot.releases().forEach(release -> simulation.scheduleRelease(release, 0));
    for (int step = 0; step <= steps; step++) {
      simulation.simulateStep(step);
    }
    return new Result(simulation.shortage(), simulation.usedMachines);
  }

  private double secondsAt(int step) {
    return horizonSeconds * step / steps;
  }

  private void simulateStep(int step) {
    Set<MachineCapacity> increased = applyReleases(step);
    // Tasks that found no capacity before need only try machines where some was released since.
    // Tasks that join the queue in this step have not tried any machine yet.
    boolean searchAll = step == 0 || anyJoins(step);
    List<MachineCapacity> candidates = new ArrayList<>();
    for (MachineCapacity capacity : searchAll ? capacities : increased) {
      if (minimumRequest.fitsInto(capacity.available())) {
        candidates.add(capacity);
      }
    }
    if (!candidates.isEmpty()) {
      packWaiting(step, candidates);
    }
  }

  private Set<MachineCapacity> applyReleases(int step) {
    Set<MachineCapacity> increased = new LinkedHashSet<>();
    for (CapacityRelease release : releasesByStep.get(step)) {
      release.capacity().free(release.amount());
      increased.add(release.capacity());
    }
    return increased;
  }

  private boolean anyJoins(int step) {
    double previous = secondsAt(step - 1);
    double now = secondsAt(step);
    return waiting.stream().anyMatch(group -> group.joinsBetween(previous, now));
  }

  private void packWaiting(int step, List<MachineCapacity> candidates) {
    double now = secondsAt(step);
    UnschedulableRequests unschedulable = new UnschedulableRequests();
    for (int i = 0; i < remainingCounts.length; i++) {
      PendingGroup group = waiting.get(i);
      if (remainingCounts[i] > 0
          && group.earliestStartSeconds() <= now
          && !unschedulable.covers(group.request())) {
        remainingCounts[i] -= pack(group, remainingCounts[i], step, candidates);
        if (remainingCounts[i] > 0) {
          unschedulable.add(group.request());
        }
      }
    }
  }

  private int pack(PendingGroup group, int count, int step, List<MachineCapacity> candidates) {
    double endSeconds = secondsAt(step) + group.runSeconds();
    return BinPacker.placeTasks(
        group.request(),
        count,
        candidates,
        (capacity, packed) -> {
          usedMachines.add(capacity.machine());
          Resources amount = group.request().perTask().times(packed);
          scheduleRelease(new CapacityRelease(endSeconds, capacity, amount), step + 1);
        });
  }

  /** Adds the release to the first step that is not before it; ignores one beyond the horizon. */
  private void scheduleRelease(CapacityRelease release, int earliestStep) {
    double horizonShare = horizonSeconds > 0 ? release.atSeconds() / horizonSeconds : 0;
    int step = (int) Math.max(earliestStep, Math.ceil(Math.min(MAX_STEP, horizonShare * steps)));
    if (release.atSeconds() <= horizonSeconds && step <= steps) {
      releasesByStep.get(step).add(release);
    }
  }

  private List<PendingGroup> shortage() {
    List<PendingGroup> shortage = new ArrayList<>();
    for (int i = 0; i < remainingCounts.length; i++) {
      if (remainingCounts[i] > 0) {
        shortage.add(waiting.get(i).withCount(remainingCounts[i]));
      }
    }
    return shortage;
  }
}
