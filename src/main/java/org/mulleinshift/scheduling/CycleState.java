package org.mulleinshift.scheduling;

import java.util.List;
import java.util.Map;
import org.mulleinshift.model.Job;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.placement.UnschedulableRequests;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.TeamId;

/** What the passes of one scheduling cycle share, and change as they assign tasks. */
final class CycleState {
  private final RankedQueue queue;
  private final List<MachineCapacity> capacities;
  private final Map<TeamId, Resources> usageByTeam;
  private UnschedulableRequests unschedulable = new UnschedulableRequests();

  /**
   * The state at the start of a cycle.
   *
   * @param queue the jobs in the order of this cycle, and the shares it was derived from
   * @param capacities available capacity by machine; becomes the cycle's own
   * @param usageByTeam what each team uses; becomes the cycle's own
   */
  CycleState(
      RankedQueue queue, List<MachineCapacity> capacities, Map<TeamId, Resources> usageByTeam) {
    this.queue = queue;
    this.capacities = capacities;
    this.usageByTeam = usageByTeam;
  }

  /** All jobs, most urgent first. */
  List<Job> rankedJobs() {
    return queue.ranking().rankedJobs();
  }

  JobRanking ranking() {
    return queue.ranking();
  }

  ShareSnapshot shares() {
    return queue.shares();
  }

  /** The available capacity by machine; the order breaks ties between equally good machines. */
  List<MachineCapacity> capacities() {
    return capacities;
  }

  void addCapacity(MachineCapacity capacity) {
    capacities.add(capacity);
  }

  /** Forgets which requests found no machine: they may find one, now that capacity has grown. */
  void clearUnschedulable() {
    unschedulable = new UnschedulableRequests();
  }

  /** What each team uses, with all that this cycle has assigned. */
  Map<TeamId, Resources> usageByTeam() {
    return usageByTeam;
  }

  /** What one team uses, with all that this cycle has assigned. */
  Resources usageOf(TeamId team) {
    return usageByTeam.getOrDefault(team, Resources.ZERO);
  }

  void recordUsage(TeamId team, Resources used) {
    usageByTeam.put(team, used);
  }

  /** Whether the request is known to fit no machine. */
  boolean isUnschedulable(ResourceRequest request) {
    return unschedulable.covers(request);
  }

  void markUnschedulable(ResourceRequest request) {
    unschedulable.add(request);
  }
}
