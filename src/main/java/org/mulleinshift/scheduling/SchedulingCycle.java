package org.mulleinshift.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.mulleinshift.model.Job;
import org.mulleinshift.model.TaskAssignment;
import org.mulleinshift.placement.BinPacker;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.placement.PlacementConstraints;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.placement.UnschedulableRequests;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.JobKind;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.TeamId;
import org.mulleinshift.sharding.ShardView;
import org.mulleinshift.transport.EventLoop;

/**
 * One scheduling cycle after another: gives free room to waiting tasks in order, within limits and
 * zones, and asks for more room where the protocol lets work be stopped.
 */
public final class SchedulingCycle {
  private static final int ATTEMPT_BITS = 20;

  /** A job that begins at last starts one of so many of its tasks. */
  private static final int FIRST_PART = 16;

  private final ClusterState state;
  private final TaskActions actions;
  private final EventLoop loop;
  private final Revision term;
  private final AvailableCapacity availableCapacity;
  private final CapacityReservation reservation;
  private final Preemption preemption;
  private final Optional<Double> guaranteeWithin;
  private final double aheadSeconds;
  private final StarvationPrevention starvation;
  private final MinimumShares minimumShares;
  private final Tardiness tardiness;
  private Optional<JobRanking> ranking = Optional.empty();
  private Optional<MinimumShares.Snapshot> shares = Optional.empty();
  private UnschedulableRequests unschedulable = new UnschedulableRequests();

  /** The cycles of one term. */
  public SchedulingCycle(
      EventLoop loop,
      Revision term,
      ClusterState state,
      AvailableCapacity availableCapacity,
      SchedulingSettings settings,
      TaskActions actions) {
    this.loop = loop;
    this.term = term;
    this.state = state;
    this.availableCapacity = availableCapacity;
    this.actions = actions;
    this.reservation = state.reservation();
    this.preemption =
        new Preemption(settings.preemptMaxRunSeconds(), settings.preemptSlackSeconds());
    // Room that frees first refills what is kept for classes with a start aim; tasks that wait at
    // owners would take it before.
    this.aheadSeconds = reservation.isActive() ? 0 : settings.assignAheadSeconds();
    this.starvation = new StarvationPrevention(settings.startWithinSeconds(), loop.now());
    this.minimumShares = new MinimumShares(state, settings.minimumShare(), loop.now());
    this.tardiness =
        new Tardiness(state.runTimes(), settings.objectives(), settings.overdueSeconds());
    this.guaranteeWithin = settings.guaranteeWithinSeconds();
  }

  public void run() {
    ranking = Optional.empty();
    shares = Optional.empty();
    List<Job> order = ranking().order();
    List<MachineCapacity> capacities = availableCapacity.collect(minAsked(order));
    Map<TeamId, Resources> inUse = state.usageByTeam();
    Attempt attempt = new Attempt((term.value() << ATTEMPT_BITS) + 1);
    unschedulable = new UnschedulableRequests();
    startStarvedJobs(capacities, inUse, attempt);
    assignClaims(order, job -> job.state() == Job.State.ACTIVE, capacities, inUse, attempt);
    for (Job job : order) {
      if (job.state() == Job.State.ACTIVE && reservation.appliesTo(job.spec())) {
        assign(job, capacities, inUse, attempt);
      }
    }
    reserveCapacity(capacities);
    for (Job job : order) {
      if (job.state() == Job.State.ACTIVE && !reservation.appliesTo(job.spec())) {
        assign(job, capacities, inUse, attempt);
      }
    }
    // After all room is given: what still waits may ask for more.
    preempt(order, inUse);
    assignAhead(order, capacities, inUse, attempt);
  }

  /** Of each kind the least that a waiting task, or one that room is kept for, takes. */
  private Resources minAsked(List<Job> order) {
    Resources least = Resources.UNBOUNDED;
    for (Job job : order) {
      if (job.state() == Job.State.ACTIVE && job.waitingCount() > 0) {
        least = UnschedulableRequests.minimum(least, job.spec().perTask());
      }
    }
    for (CapacityReservation.Reservation kept : reservation.reservations(loop.now())) {
      least = UnschedulableRequests.minimum(least, kept.request().perTask());
    }
    return least;
  }

  /** A part of each of the largest jobs that waited too long, whatever the order says. */
  private void startStarvedJobs(
      List<MachineCapacity> capacities, Map<TeamId, Resources> inUse, Attempt attempt) {
    for (Job job : starvation.jobsToStart(state.jobs().all(), loop.now(), loop.wallMillis())) {
      assign(job, capacities, inUse, attempt, (job.spec().tasks() + FIRST_PART - 1) / FIRST_PART);
    }
  }

  /** Room for classes or teams that are below their floor, before the usual order. */
  private void assignClaims(
      List<Job> order,
      Predicate<Job> open,
      List<MachineCapacity> capacities,
      Map<TeamId, Resources> inUse,
      Attempt attempt) {
    for (MinimumShares.EntityGroup side : shares().groups()) {
      for (Job job : side.hasClaims() ? order : List.<Job>of()) {
        int most = side.claimableTasks(job, shares().share(job));
        if (most > 0 && job.waitingCount() > 0 && open.test(job)) {
          side.onClaimed(job, shares().share(job) * assign(job, capacities, inUse, attempt, most));
        }
      }
    }
  }

  private void assign(
      Job job, List<MachineCapacity> capacities, Map<TeamId, Resources> inUse, Attempt attempt) {
    assign(job, capacities, inUse, attempt, Integer.MAX_VALUE);
  }

  /** Gives room to up to so many of the job's tasks; tells to how many. */
  private int assign(
      Job job,
      List<MachineCapacity> capacities,
      Map<TeamId, Resources> inUse,
      Attempt attempt,
      int most) {
    TeamId team = job.spec().team();
    Resources used = inUse.getOrDefault(team, Resources.ZERO);
    int allowed =
        Math.min(
            state.quotas().tasksWithinLimit(job, used),
            state.failures().allowedAttempts(job, loop.now()));
    // A gang takes room for all its tasks or for none.
    allowed = job.spec().kind() == JobKind.ARRAY ? Math.min(allowed, most) : allowed;
    if (allowed == 0 || job.waitingCount() == 0) {
      return 0;
    }
    ResourceRequest need = ResourceRequest.of(job.spec());
    if (job.spec().kind() == JobKind.GANG
        && !PlacementConstraints.gangFits(job, need, capacities, allowed, loop.now())) {
      return 0;
    }
    // Where each task changes which zones are left, they are placed one by one.
    boolean oneByOne = job.spec().spread() || job.spec().oneZone();
    if (!oneByOne && unschedulable.covers(need)) {
      return 0;
    }
    int[] waiting = job.waiting(allowed, loop.now());
    int[] next = {0};
    BinPacker.CapacityConsumer consumer =
        (capacity, count) -> {
          for (int i = 0; i < count; i++) {
            int index = waiting[next[0]++];
            state.allocations().add(job.assign(index, capacity.shard(), capacity.zone(), attempt));
            actions.onAssigned(job, index);
          }
        };
    int placed = 0;
    if (oneByOne) {
      while (placed < waiting.length
          && BinPacker.fill(need, 1, allowedCapacities(job, capacities), consumer) == 1) {
        placed++;
      }
    } else {
      placed = BinPacker.fill(need, waiting.length, allowedCapacities(job, capacities), consumer);
      if (placed < waiting.length) {
        unschedulable.add(need);
      }
    }
    inUse.put(team, used.plus(job.spec().perTask().times(placed)));
    return placed;
  }

  /**
   * Tasks for the room that should become free until a assignment would have arrived. Storing and
   * sending it takes longer than a machine should stand idle; the owner starts the task when the
   * room is there.
   */
  private void assignAhead(
      List<Job> order,
      List<MachineCapacity> capacities,
      Map<TeamId, Resources> inUse,
      Attempt attempt) {
    if (aheadSeconds == 0
        || order.stream().noneMatch(job -> mayQueueAtOwner(job) && job.waitingCount() > 0)) {
      return;
    }
    Map<MachineId, MachineCapacity> byMachine = new HashMap<>();
    capacities.forEach(capacity -> byMachine.put(capacity.machine(), capacity));
    for (Job job : order) {
      for (TaskAssignment assignment : endingSoon(job)) {
        MachineId machine = assignment.machine().get();
        MachineCapacity capacity = byMachine.get(machine);
        if (capacity == null) {
          capacity = saturatedMachine(assignment.shard(), machine);
          byMachine.put(machine, capacity);
          Optional.ofNullable(capacity).ifPresent(capacities::add);
        }
        Optional.ofNullable(capacity).ifPresent(found -> found.free(assignment.perTask()));
      }
    }
    // Rooms have grown.
    unschedulable = new UnschedulableRequests();
    for (AvailableCapacity.QueuedAtOwner known : availableCapacity.queuedAtOwners()) {
      List<MachineCapacity> own =
          capacities.stream().filter(capacity -> capacity.shard().equals(known.shard())).toList();
      BinPacker.fill(known.request(), known.count(), own);
    }
    assignClaims(order, SchedulingCycle::mayQueueAtOwner, capacities, inUse, attempt);
    for (Job job : order) {
      if (mayQueueAtOwner(job)) {
        assign(job, capacities, inUse, attempt);
      }
    }
  }

  /** A machine's room that was left out since too little of it is left; none if it is unusable. */
  private MachineCapacity saturatedMachine(ShardId shard, MachineId machine) {
    return state
        .shards()
        .find(shard)
        .flatMap(found -> availableCapacity.ofMachine(found, machine, Resources.ZERO))
        .orElse(null);
  }

  /** Where the other tasks are decides where a task may go: then it is not sent ahead. */
  private static boolean mayQueueAtOwner(Job job) {
    return job.state() == Job.State.ACTIVE
        && job.spec().kind() == JobKind.ARRAY
        && !job.spec().oneZone()
        && !job.spec().spread();
  }

  /** As many of the job's running tasks as should end soon, the longest running first. */
  private List<TaskAssignment> endingSoon(Job job) {
    List<TaskAssignment> running =
        job.assignments().stream()
            .filter(assignment -> assignment.state() == TaskAssignment.State.RUNNING)
            .sorted(Comparator.comparing(assignment -> assignment.runningSince().get()))
            .toList();
    double ends =
        running.size() * aheadSeconds / Math.max(1, state.runTimes().expectedSeconds(job));
    return running.subList(0, (int) Math.min(running.size(), Math.round(ends)));
  }

  private List<MachineCapacity> allowedCapacities(Job job, List<MachineCapacity> capacities) {
    boolean anywhere = job.spec().zone().isEmpty() && !job.spec().oneZone() && !job.spec().spread();
    return anywhere
        ? capacities
        : capacities.stream()
            .filter(capacity -> PlacementConstraints.allows(job, capacity.zone()))
            .toList();
  }

  private void preempt(List<Job> order, Map<TeamId, Resources> inUse) {
    Preemption.Pass round = preemption.new Pass(order, this::locationOf, loop.now());
    for (Job job : order) {
      if (job.state() != Job.State.ACTIVE
          || job.waitingCount() == 0
          || state.failures().isJobFaulty(job)) {
        continue;
      }
      if (Preemption.mayPreempt(job) && urgent(job) && round.admit("priority")) {
        preemptFor(job, round, inUse, priorityPolicy(job, round));
      }
      if (claimsGuarantee(job, inUse) && round.admit("guarantee")) {
        preemptFor(
            job,
            round,
            inUse,
            new PreemptionPolicies.ReclaimGuarantee(
                job,
                ranking(),
                other -> reservation.appliesTo(other.spec()),
                state.quotas(),
                inUse,
                round));
      }
    }
  }

  private void preemptFor(
      Job job, Preemption.Pass round, Map<TeamId, Resources> inUse, Preemption.Policy rule) {
    Resources used = inUse.getOrDefault(job.spec().team(), Resources.ZERO);
    int wanted = job.waiting(state.quotas().tasksWithinLimit(job, used), loop.now()).length;
    preemption
        .victims(job, wanted, round, rule, where -> canFreeCapacity(job, where))
        .forEach(actions::requestStop);
  }

  private Preemption.Policy priorityPolicy(Job job, Preemption.Pass round) {
    Preemption.Policy rule =
        new PreemptionPolicies.LowerRanked(
            new PreemptionPolicies.LowerPriority(job), ranking().rank(job.spec().id()), ranking());
    for (MinimumShares.EntityGroup side : shares().groups()) {
      rule = new PreemptionPolicies.AboveMinimumShare(job, rule, side, shares(), round);
    }
    return rule;
  }

  private boolean urgent(Job job) {
    double expected = state.runTimes().expectedSeconds(job);
    return reservation.appliesTo(job.spec()) || preemption.urgent(job, expected, loop.wallMillis());
  }

  /** The job lies within its team's guarantee, the team has less than that, and time runs out. */
  private boolean claimsGuarantee(Job job, Map<TeamId, Resources> inUse) {
    Resources used = inUse.getOrDefault(job.spec().team(), Resources.ZERO);
    double waited = (loop.wallMillis() - job.readyMillis()) / 1000.0;
    return guaranteeWithin.filter(within -> waited >= within).isPresent()
        && ranking().withinGuarantee(job)
        && used.plus(job.spec().perTask()).cpus()
            <= state.quotas().guaranteedCpus(job.spec().team()) + 1e-6;
  }

  private static boolean canFreeCapacity(Job job, Preemption.Location where) {
    return PlacementConstraints.allows(job, where.zone()) && Preemption.onUsableMachine(job, where);
  }

  private Optional<Preemption.Location> locationOf(TaskAssignment assignment) {
    ShardView shard = state.shards().find(assignment.shard()).orElse(null);
    if (shard == null
        || assignment.state() == TaskAssignment.State.ENDED
        || !assignment.visibleToOwner()) {
      return Optional.empty();
    }
    return assignment
        .machine()
        .map(machine -> shard.machines().get(machine))
        .map(record -> new Preemption.Location(shard.zone(), record.type(), record.spot()));
  }

  private void reserveCapacity(List<MachineCapacity> capacities) {
    for (CapacityReservation.Reservation kept : reservation.reservations(loop.now())) {
      BinPacker.fill(kept.request(), kept.count(), capacities);
    }
  }

  /** How classes and teams stand in the current cycle. */
  private MinimumShares.Snapshot shares() {
    if (shares.isEmpty()) {
      shares =
          Optional.of(minimumShares.snapshot(state.jobs().all(), state.usageByTeam(), loop.now()));
    }
    return shares.get();
  }

  /** The order of the current cycle; between cycles it changes little. */
  public JobRanking ranking() {
    if (ranking.isEmpty()) {
      ranking =
          Optional.of(
              JobRanking.of(
                  state.jobs().all(),
                  state.failures()::isJobFaulty,
                  state.quotas().teams(),
                  tardiness,
                  shares(),
                  loop.wallMillis()));
    }
    return ranking.get();
  }
}
