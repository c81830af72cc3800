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
 * What the leader of a term knows of the cluster: the tables and indexes that scheduling and
 * autoscaling share. All of it is owned by the event loop and lasts as long as the term.
 *
 * @param loop the event loop, for its clock
 * @param jobs jobs that may run or are about to end
 * @param shards shards of machines and what their owners reported
 * @param machines provisioned machines
 * @param allocations where the assigned tasks are
 * @param quotas limits and guarantees of teams
 * @param failures attributes task failures to jobs or machines
 * @param reservation capacity kept free for classes whose tasks must start soon
 * @param unreadable jobs that this build can't read
 * @param catalog machine types and prices
 * @param runTimes expected run times
 * @param view control keys as the store last showed them
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

  /** Whether the machine must take no new task. */
  public boolean isCordoned(MachineId machine) {
    return machines.isCordoned(machine)
        || failures.isQuarantined(machine)
        || failures.isSuspect(machine, loop.now());
  }

  /** Whether a task is, may be about to be, or may unknown to this build be on the machine. */
  public boolean isBusy(MachineId machine, ShardId shard) {
    return allocations.busy(machine, shard) || unreadable.mayHaveTasksIn(shard);
  }

  /** What each team uses, or may use. */
  public Map<TeamId, Resources> usageByTeam() {
    Map<TeamId, Resources> usage = TeamQuotas.usageByTeam(jobs.all());
    unreadable.addUsage(usage);
    return usage;
  }
}
