package org.mulleinshift.scheduling;

import java.util.Optional;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.placement.PlacementConstraints;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.sharding.ShardView;
import org.mulleinshift.transport.EventLoop;

/**
 * Requests that running tasks stop, for jobs that still wait for capacity and that the protocol
 * allows to preempt.
 */
final class PreemptionPass {
  private static final double MILLIS_PER_SECOND = 1000.0;

  private final EventLoop loop;
  private final ClusterState state;
  private final TaskActions actions;
  private final CapacityReservation reservation;
  private final Preemption preemption;
  private final Optional<Double> guaranteeWithinSeconds;

  PreemptionPass(
      EventLoop loop, ClusterState state, SchedulingSettings settings, TaskActions actions) {
    this.loop = loop;
    this.state = state;
    this.actions = actions;
    this.reservation = state.reservation();
    this.preemption =
        new Preemption(settings.preemptMaxRunSeconds(), settings.preemptSlackSeconds());
    this.guaranteeWithinSeconds = settings.guaranteeWithinSeconds();
  }

  void run(CycleState cycle) {
    PreemptionCandidates candidates =
        preemption.candidates(cycle.rankedJobs(), this::locationOf, loop.now());
    for (Job job : cycle.rankedJobs()) {
      if (job.state() == Job.State.ACTIVE
          && job.waitingCount() > 0
          && !state.failures().isJobFailing(job)) {
        preemptFor(job, cycle, candidates);
      }
    }
  }

  private void preemptFor(Job job, CycleState cycle, PreemptionCandidates candidates) {
    if (Preemption.hasPreemptingPriority(job)
        && isUrgent(job)
        && candidates.admit(PreemptionCandidates.Reason.PRIORITY)) {
      requestStops(job, cycle, candidates, priorityPolicy(job, cycle, candidates));
    }
    if (claimsGuarantee(job, cycle) && candidates.admit(PreemptionCandidates.Reason.GUARANTEE)) {
      requestStops(job, cycle, candidates, guaranteePolicy(job, cycle, candidates));
    }
  }

  private void requestStops(
      Job job, CycleState cycle, PreemptionCandidates candidates, Preemption.Policy policy) {
    int allowed = state.quotas().tasksWithinLimit(job, cycle.usageOf(job.spec().team()));
    int wanted = job.assignableTasks(allowed, loop.now()).length;
    preemption
        .selectVictims(job, wanted, candidates, policy, location -> canFreeCapacity(job, location))
        .forEach(actions::requestStop);
  }

  private static Preemption.Policy priorityPolicy(
      Job job, CycleState cycle, PreemptionCandidates candidates) {
    JobRanking ranking = cycle.ranking();
    Preemption.Policy policy =
        new PreemptionPolicies.LowerRanked(
            new PreemptionPolicies.LowerPriority(job), ranking.rank(job.spec().id()), ranking);
    for (EntityGroup group : cycle.shares().groups()) {
      policy =
          new PreemptionPolicies.AboveMinimumShare(job, policy, group, cycle.shares(), candidates);
    }
    return policy;
  }

  private Preemption.Policy guaranteePolicy(
      Job job, CycleState cycle, PreemptionCandidates candidates) {
    return new PreemptionPolicies.ReclaimGuarantee(
        job,
        cycle.ranking(),
        other -> reservation.appliesTo(other.spec()),
        state.quotas(),
        cycle.usageByTeam(),
        candidates);
  }

  private boolean isUrgent(Job job) {
    double expected = state.runTimes().expectedSeconds(job);
    return reservation.appliesTo(job.spec())
        || preemption.isUrgent(job, expected, loop.wallMillis());
  }

  /**
   * Whether the job may reclaim guaranteed capacity: it is within its team's guarantee, the team
   * uses less than that, and the job has waited for as long as the objective allows.
   */
  private boolean claimsGuarantee(Job job, CycleState cycle) {
    Resources used = cycle.usageOf(job.spec().team());
    double waitedSeconds = (loop.wallMillis() - job.readyMillis()) / MILLIS_PER_SECOND;
    return guaranteeWithinSeconds.filter(within -> waitedSeconds >= within).isPresent()
        && cycle.ranking().withinGuarantee(job)
        && state
            .quotas()
            .isWithinGuaranteedCpus(job.spec().team(), used.plus(job.spec().perTask()).cpus());
  }

  private static boolean canFreeCapacity(Job job, Preemption.Location location) {
    return PlacementConstraints.allows(job, location.zone())
        && Preemption.isUsableMachine(job, location);
  }

  private Optional<Preemption.Location> locationOf(TaskAssignment assignment) {
    ShardView shard = state.shards().find(assignment.shard()).orElse(null);
    if (shard == null
        || assignment.state() == TaskAssignment.State.ENDED
        || !assignment.mayBeKnownToOwner()) {
      return Optional.empty();
    }
    return assignment
        .machine()
        .map(machine -> shard.machines().get(machine))
        .map(record -> new Preemption.Location(shard.zone(), record.type(), record.spot()));
  }
}
