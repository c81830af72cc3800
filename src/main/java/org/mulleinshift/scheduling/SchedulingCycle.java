package org.mulleinshift.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.mulleinshift.leader.Leader;
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
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;
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

  private final Leader leader;
  private final Leader.Surroundings context;
  private final EventLoop loop;
  private final Revision term;
  private final AvailableCapacity freeCapacity;
  private final CapacityReservation headroom;
  private final Preemption preemption;
  private final Optional<Double> guaranteeWithin;
  private final double aheadSeconds;
  private final StarvationPrevention largest;
  private final MinimumShares floors;
  private final Tardiness lateness;
  private Optional<JobRanking> ranking = Optional.empty();
  private Optional<MinimumShares.Picture> picture = Optional.empty();
  private UnschedulableRequests unplaceable = new UnschedulableRequests();

  public SchedulingCycle(
      Leader leader, Leader.Surroundings context, Revision term, AvailableCapacity freeCapacity) {
    this.leader = leader;
    this.context = context;
    this.loop = context.loop();
    this.term = term;
    this.freeCapacity = freeCapacity;
    this.headroom = leader.headroom();
    this.preemption =
        new Preemption(
            context.tunables().number(Tunables.Key.PREEMPT_RAN_S),
            context.tunables().number(Tunables.Key.PREEMPT_SLACK_S));
    // Room that frees first refills what is kept for classes with a start aim; tasks that wait at
    // owners would take it before.
    this.aheadSeconds =
        headroom.protectsAny() ? 0 : context.tunables().number(Tunables.Key.AHEAD_S);
    this.largest =
        new StarvationPrevention(context.tunables().number(Tunables.Key.BEGIN_S), loop.now());
    this.floors = new MinimumShares(leader, context.catalog(), context.tunables(), loop.now());
    this.lateness =
        new Tardiness(
            context.runTimes(),
            context.settings().cluster().objectives(),
            context.tunables().number(Tunables.Key.OVERDUE_S));
    this.guaranteeWithin =
        context.settings().cluster().objectives().stream()
            .filter(objective -> objective.kind().equals("guarantee"))
            .map(PlatformSettings.Objective::withinSeconds)
            .findFirst();
  }

  public void cycle() {
    ranking = Optional.empty();
    picture = Optional.empty();
    List<Job> order = ranking().order();
    List<MachineCapacity> capacities = freeCapacity.capacities(minAsked(order));
    Map<TeamId, Resources> inUse = leader.use();
    Attempt attempt = new Attempt((term.value() << ATTEMPT_BITS) + 1);
    unplaceable = new UnschedulableRequests();
    beginLargest(capacities, inUse, attempt);
    claim(order, job -> job.state() == Job.State.ACTIVE, capacities, inUse, attempt);
    for (Job job : order) {
      if (job.state() == Job.State.ACTIVE && headroom.protects(job.spec())) {
        delegate(job, capacities, inUse, attempt);
      }
    }
    keepHeadroom(capacities);
    for (Job job : order) {
      if (job.state() == Job.State.ACTIVE && !headroom.protects(job.spec())) {
        delegate(job, capacities, inUse, attempt);
      }
    }
    // After all room is given: what still waits may ask for more.
    preempt(order, inUse);
    delegateAhead(order, capacities, inUse, attempt);
  }

  /** Of each kind the least that a waiting task, or one that room is kept for, takes. */
  private Resources minAsked(List<Job> order) {
    Resources least = Resources.ENDLESS;
    for (Job job : order) {
      if (job.state() == Job.State.ACTIVE && job.waitingCount() > 0) {
        least = UnschedulableRequests.least(least, job.spec().perTask());
      }
    }
    for (CapacityReservation.Kept kept : headroom.kept(loop.now())) {
      least = UnschedulableRequests.least(least, kept.need().perTask());
    }
    return least;
  }

  /** A part of each of the largest jobs that waited too long, whatever the order says. */
  private void beginLargest(
      List<MachineCapacity> capacities, Map<TeamId, Resources> inUse, Attempt attempt) {
    for (Job job : largest.toBegin(leader.jobs().values(), loop.now(), loop.wallMillis())) {
      delegate(job, capacities, inUse, attempt, (job.spec().tasks() + FIRST_PART - 1) / FIRST_PART);
    }
  }

  /** Room for classes or teams that are below their floor, before the usual order. */
  private void claim(
      List<Job> order,
      Predicate<Job> open,
      List<MachineCapacity> capacities,
      Map<TeamId, Resources> inUse,
      Attempt attempt) {
    for (MinimumShares.Side side : picture().sides()) {
      for (Job job : side.claimsAny() ? order : List.<Job>of()) {
        int most = side.mayClaim(job, picture().share(job));
        if (most > 0 && job.waitingCount() > 0 && open.test(job)) {
          side.claimed(job, picture().share(job) * delegate(job, capacities, inUse, attempt, most));
        }
      }
    }
  }

  private void delegate(
      Job job, List<MachineCapacity> capacities, Map<TeamId, Resources> inUse, Attempt attempt) {
    delegate(job, capacities, inUse, attempt, Integer.MAX_VALUE);
  }

  /** Gives room to up to so many of the job's tasks; tells to how many. */
  private int delegate(
      Job job,
      List<MachineCapacity> capacities,
      Map<TeamId, Resources> inUse,
      Attempt attempt,
      int most) {
    TeamId team = job.spec().team();
    Resources used = inUse.getOrDefault(team, Resources.ZERO);
    int allowed =
        Math.min(leader.quota().withinLimit(job, used), leader.blame().tries(job, loop.now()));
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
    if (!oneByOne && unplaceable.covers(need)) {
      return 0;
    }
    int[] waiting = job.waiting(allowed, loop.now());
    int[] next = {0};
    BinPacker.Taker consumer =
        (capacity, count) -> {
          for (int i = 0; i < count; i++) {
            int index = waiting[next[0]++];
            leader
                .occupancy()
                .enter(job.delegate(index, capacity.shard(), capacity.zone(), attempt));
            leader.progress().store(job, index, true);
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
        unplaceable.add(need);
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
  private void delegateAhead(
      List<Job> order,
      List<MachineCapacity> capacities,
      Map<TeamId, Resources> inUse,
      Attempt attempt) {
    if (aheadSeconds == 0
        || order.stream().noneMatch(job -> mayWaitAtOwner(job) && job.waitingCount() > 0)) {
      return;
    }
    Map<MachineId, MachineCapacity> byMachine = new HashMap<>();
    capacities.forEach(capacity -> byMachine.put(capacity.machine(), capacity));
    for (Job job : order) {
      for (TaskAssignment assignment : freeSoon(job)) {
        MachineId machine = assignment.machine().get();
        MachineCapacity capacity = byMachine.get(machine);
        if (capacity == null) {
          capacity = fullCapacity(assignment.shard(), machine);
          byMachine.put(machine, capacity);
          Optional.ofNullable(capacity).ifPresent(capacities::add);
        }
        Optional.ofNullable(capacity).ifPresent(found -> found.give(assignment.perTask()));
      }
    }
    // Rooms have grown.
    unplaceable = new UnschedulableRequests();
    for (AvailableCapacity.Ahead known : freeCapacity.ahead()) {
      List<MachineCapacity> own =
          capacities.stream().filter(capacity -> capacity.shard().equals(known.shard())).toList();
      BinPacker.fill(known.need(), known.count(), own);
    }
    claim(order, SchedulingCycle::mayWaitAtOwner, capacities, inUse, attempt);
    for (Job job : order) {
      if (mayWaitAtOwner(job)) {
        delegate(job, capacities, inUse, attempt);
      }
    }
  }

  /** A machine's room that was left out since too little of it is left; none if it is unusable. */
  private MachineCapacity fullCapacity(ShardId shard, MachineId machine) {
    return Optional.ofNullable(leader.shards().get(shard))
        .flatMap(found -> freeCapacity.capacityOf(found, machine, Resources.ZERO))
        .orElse(null);
  }

  /** Where the other tasks are decides where a task may go: then it is not sent ahead. */
  private static boolean mayWaitAtOwner(Job job) {
    return job.state() == Job.State.ACTIVE
        && job.spec().kind() == JobKind.ARRAY
        && !job.spec().oneZone()
        && !job.spec().spread();
  }

  /** As many of the job's running tasks as should end soon, the longest running first. */
  private List<TaskAssignment> freeSoon(Job job) {
    List<TaskAssignment> running =
        job.assignments().stream()
            .filter(assignment -> assignment.state() == TaskAssignment.State.RUNNING)
            .sorted(Comparator.comparing(assignment -> assignment.runningSince().get()))
            .toList();
    double ends =
        running.size() * aheadSeconds / Math.max(1, context.runTimes().expectedSeconds(job));
    return running.subList(0, (int) Math.min(running.size(), Math.round(ends)));
  }

  private List<MachineCapacity> allowedCapacities(Job job, List<MachineCapacity> capacities) {
    boolean anywhere = job.spec().zone().isEmpty() && !job.spec().oneZone() && !job.spec().spread();
    return anywhere
        ? capacities
        : capacities.stream()
            .filter(capacity -> PlacementConstraints.allowed(job, capacity.zone()))
            .toList();
  }

  private void preempt(List<Job> order, Map<TeamId, Resources> inUse) {
    Preemption.Round round = preemption.new Round(order, this::whereCanMakeCapacity, loop.now());
    for (Job job : order) {
      if (job.state() != Job.State.ACTIVE
          || job.waitingCount() == 0
          || leader.blame().blamed(job)) {
        continue;
      }
      if (Preemption.mayPreempt(job) && pressing(job) && round.mayAsk("priority")) {
        stopFor(job, round, inUse, byPriority(job, round));
      }
      if (claimsGuarantee(job, inUse) && round.mayAsk("guarantee")) {
        stopFor(
            job,
            round,
            inUse,
            new PreemptionPolicies.ByGuarantee(
                job,
                ranking(),
                other -> headroom.protects(other.spec()),
                leader.quota(),
                inUse,
                round));
      }
    }
  }

  private void stopFor(
      Job job, Preemption.Round round, Map<TeamId, Resources> inUse, Preemption.GivesWay rule) {
    Resources used = inUse.getOrDefault(job.spec().team(), Resources.ZERO);
    int wanted = job.waiting(leader.quota().withinLimit(job, used), loop.now()).length;
    preemption
        .victims(job, wanted, round, rule, where -> canMakeCapacity(job, where))
        .forEach(leader::requestStop);
  }

  private Preemption.GivesWay byPriority(Job job, Preemption.Round round) {
    Preemption.GivesWay rule =
        new PreemptionPolicies.Behind(
            new PreemptionPolicies.ByPriority(job), ranking().rank(job.spec().id()), ranking());
    for (MinimumShares.Side side : picture().sides()) {
      rule = new PreemptionPolicies.AboveFloor(job, rule, side, picture(), round);
    }
    return rule;
  }

  private boolean pressing(Job job) {
    double expected = context.runTimes().expectedSeconds(job);
    return headroom.protects(job.spec()) || preemption.pressing(job, expected, loop.wallMillis());
  }

  /** The job lies within its team's guarantee, the team has less than that, and time runs out. */
  private boolean claimsGuarantee(Job job, Map<TeamId, Resources> inUse) {
    Resources used = inUse.getOrDefault(job.spec().team(), Resources.ZERO);
    double waited = (loop.wallMillis() - job.readyMillis()) / 1000.0;
    return guaranteeWithin.filter(within -> waited >= within).isPresent()
        && ranking().guaranteed(job)
        && used.plus(job.spec().perTask()).cpus()
            <= leader.quota().guaranteed(job.spec().team()) + 1e-6;
  }

  private static boolean canMakeCapacity(Job job, Preemption.Where where) {
    return PlacementConstraints.allowed(job, where.zone())
        && Preemption.onUsableMachine(job, where);
  }

  private Optional<Preemption.Where> whereCanMakeCapacity(TaskAssignment assignment) {
    ShardView shard = leader.shards().get(assignment.shard());
    if (shard == null || assignment.state() == TaskAssignment.State.ENDED || !assignment.told()) {
      return Optional.empty();
    }
    return assignment
        .machine()
        .map(machine -> shard.machines().get(machine))
        .map(record -> new Preemption.Where(shard.zone(), record.type(), record.spot()));
  }

  private void keepHeadroom(List<MachineCapacity> capacities) {
    for (CapacityReservation.Kept kept : headroom.kept(loop.now())) {
      BinPacker.fill(kept.need(), kept.count(), capacities);
    }
  }

  /** How classes and teams stand in the current cycle. */
  private MinimumShares.Picture picture() {
    if (picture.isEmpty()) {
      picture = Optional.of(floors.picture(leader.jobs().values(), leader.use(), loop.now()));
    }
    return picture.get();
  }

  /** The order of the current cycle; between cycles it changes little. */
  public JobRanking ranking() {
    if (ranking.isEmpty()) {
      ranking =
          Optional.of(
              JobRanking.of(
                  leader.jobs().values(),
                  leader.blame()::blamed,
                  leader.quota().teams(),
                  lateness,
                  picture(),
                  loop.wallMillis()));
    }
    return ranking.get();
  }
}
