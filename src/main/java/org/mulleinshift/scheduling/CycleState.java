package org.mulleinshift.scheduling;

import java.util.List;
import java.util.Map;
import org.mulleinshift.model.Job;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.placement.UnschedulableRequests;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.TeamId;

/** State that the passes of one scheduling cycle share and update as they assign tasks. */
final class CycleState {
  private final RankedQueue queue;
  private final List<MachineCapacity> capacities;
  private final Map<TeamId, Resources> usageByTeam;
  private UnschedulableRequests unschedulable = new UnschedulableRequests();

  /**
   * The state at the start of a cycle.
   *
   * @param queue the ranking for this cycle, and the shares that it was computed from
   * @param capacities available capacity by machine; modified by the cycle
   * @param usageByTeam the resources that each team uses; modified by the cycle
   */
  CycleState(
      RankedQueue queue, List<MachineCapacity> capacities, Map<TeamId, Resources> usageByTeam) {
    this.queue = queue;
    this.capacities = capacities;
    this.usageByTeam = usageByTeam;
  }

  /** All jobs, the highest-ranked first. */
  List<Job> rankedJobs() {
    return queue.ranking().rankedJobs();
  }

  JobRanking ranking() {
    return queue.ranking();
  }

  ShareSnapshot shares() {
    return queue.shares();
  }

  /** The available capacity by machine; of equally good machines, the first is chosen. */
  List<MachineCapacity> capacities() {
    return capacities;
  }

  void addCapacity(MachineCapacity capacity) {
    capacities.add(capacity);
  }

  /** Clears the requests known to fit no machine, since capacity has grown and they may fit now. */
  void clearUnschedulable() {
    unschedulable = new UnschedulableRequests();
  }

  /** The resources that each team uses, including what this cycle has assigned. */
  Map<TeamId, Resources> usageByTeam() {
    return usageByTeam;
  }

  /** The resources that a team uses, including what this cycle has assigned. */
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
