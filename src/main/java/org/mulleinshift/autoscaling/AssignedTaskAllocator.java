package org.mulleinshift.autoscaling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.placement.BinPacker;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.placement.UnschedulableRequests;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.scheduling.ClusterState;
import org.mulleinshift.scheduling.RunTimeEstimator;
import org.mulleinshift.transport.EventLoop;

/**
 * Allocates capacity of a snapshot to the assigned tasks, and adds its release at their expected
 * end.
 */
final class AssignedTaskAllocator {
  private final EventLoop loop;
  private final ClusterState state;

  AssignedTaskAllocator(EventLoop loop, ClusterState state) {
    this.loop = loop;
    this.state = state;
  }

  /** Tasks of one job that are assigned to a shard but not yet placed on a machine. */
  private record UnplacedGroup(ResourceRequest request, double expectedSeconds, int count) {}

  void allocate(CapacitySnapshot snapshot) {
    List<UnplacedGroup> unplaced = new ArrayList<>();
    for (Job job : state.jobs().all()) {
      if (!job.assignments().isEmpty()) {
        allocateJob(job, snapshot, unplaced);
      }
    }
    // Placed tasks are allocated first: then most machines of a busy cluster are full and need not
    // be searched again for each job.
    allocateUnplaced(unplaced, snapshot);
  }

  private void allocateJob(Job job, CapacitySnapshot snapshot, List<UnplacedGroup> unplaced) {
    double expectedSeconds = state.runTimes().expectedSeconds(job);
    ResourceRequest request = ResourceRequest.of(job.spec());
    Map<MachineId, MachineCapacity> machines = snapshot.byMachine();
    int unplacedCount = 0;
    for (TaskAssignment assignment : job.assignments()) {
      if (assignment.state() == TaskAssignment.State.ENDED) {
        continue;
      }
      if (assignment.machine().isEmpty()) {
        unplacedCount++;
        continue;
      }
      MachineCapacity capacity = machines.get(assignment.machine().get());
      if (capacity != null) {
        capacity.allocate(request);
        double remaining = remainingSeconds(assignment, expectedSeconds);
        snapshot.addRelease(remaining, capacity, request.perTask());
      }
    }
    if (unplacedCount > 0) {
      unplaced.add(new UnplacedGroup(request, expectedSeconds, unplacedCount));
    }
  }

  private double remainingSeconds(TaskAssignment assignment, double expectedSeconds) {
    double ranSeconds =
        assignment.runningSince().map(since -> loop.now().secondsSince(since)).orElse(0.0);
    return RunTimeEstimator.remainingSeconds(expectedSeconds, ranSeconds);
  }

  private static void allocateUnplaced(List<UnplacedGroup> unplaced, CapacitySnapshot snapshot) {
    Resources minimumRequest = UnschedulableRequests.minimumOf(unplaced, UnplacedGroup::request);
    List<MachineCapacity> candidates = new ArrayList<>();
    for (MachineCapacity capacity : snapshot.byMachine().values()) {
      if (minimumRequest.fitsInto(capacity.available())) {
        candidates.add(capacity);
      }
    }
    UnschedulableRequests unschedulable = new UnschedulableRequests();
    for (UnplacedGroup group : unplaced) {
      if (!unschedulable.covers(group.request())
          && pack(group, candidates, snapshot) < group.count()) {
        unschedulable.add(group.request());
      }
    }
  }

  /** Packs the tasks onto machines; returns how many were placed. */
  private static int pack(
      UnplacedGroup group, List<MachineCapacity> candidates, CapacitySnapshot snapshot) {
    return BinPacker.placeTasks(
        group.request(),
        group.count(),
        candidates,
        (capacity, packed) ->
            snapshot.addRelease(
                group.expectedSeconds(), capacity, group.request().perTask().times(packed)));
  }
}
