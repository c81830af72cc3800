package org.mulleinshift.scheduling;

import java.util.Map;
import org.mulleinshift.compatibility.UnreadableJobs;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.model.JobTable;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.TeamId;
import org.mulleinshift.sharding.MachineTable;
import org.mulleinshift.sharding.ShardTable;
import org.mulleinshift.transport.EventLoop;

/**
 * The leader's view of the cluster: the tables and indexes that scheduling and autoscaling share.
 * It is used by the event loop only and lasts as long as the leader's term.
 *
 * @param loop the event loop, for its clock
 * @param jobs jobs that may run or are about to end
 * @param shards shards of machines and what their owners reported
 * @param machines provisioned machines
 * @param allocations the assigned tasks, by machine and shard
 * @param quotas limits and guarantees of teams
 * @param failures attributes task failures to jobs or machines
 * @param reservation capacity kept free for classes whose tasks must start soon
 * @param unreadable jobs whose stored records this build can't read
 * @param catalog machine types and prices
 * @param runTimes expected run times
 * @param view control keys as last received from the store
 */
public record ClusterState(
    EventLoop loop,
    JobTable jobs,
    ShardTable shards,
    MachineTable machines,
    AllocationIndex allocations,
    TeamQuotas quotas,
    FailureAttribution failures,
    CapacityReservation reservation,
    UnreadableJobs unreadable,
    MachineTypeCatalog catalog,
    RunTimeEstimator runTimes,
    ClusterView view) {

  /**
   * Whether the machine may take no new task: it is cordoned, quarantined or suspected of causing
   * task failures.
   */
  public boolean isCordoned(MachineId machine) {
    return machines.isCordoned(machine)
        || failures.isQuarantined(machine)
        || failures.isSuspect(machine, loop.now());
  }

  /**
   * Whether the machine has, or may soon have, a task; tasks of jobs that this build can't read
   * count, too.
   */
  public boolean mayHaveTasks(MachineId machine, ShardId shard) {
    return allocations.mayHaveTasks(machine, shard) || unreadable.mayHaveTasksIn(shard);
  }

  /**
   * The resources that each team uses, including the most that jobs which this build can't read may
   * use.
   */
  public Map<TeamId, Resources> usageByTeam() {
    Map<TeamId, Resources> usage = TeamQuotas.usageByTeam(jobs.all());
    unreadable.addUsage(usage);
    return usage;
  }
}
