package org.mulleinshift.scheduling;

import java.util.List;
import java.util.function.Predicate;
import org.mulleinshift.model.Job;
import org.mulleinshift.placement.BinPacker;
import org.mulleinshift.placement.UnschedulableRequests;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.transport.EventLoop;

/**
 * Runs the scheduling cycles of one term. Each cycle assigns waiting tasks to available capacity,
 * within quotas and placement constraints, then requests preemption for jobs that still wait and
 * may preempt, then assigns tasks to capacity that should become free soon. The order of the passes
 * decides who gets capacity first.
 */
public final class SchedulingCycle {
  /** A starved job is first assigned its number of tasks divided by this, rounded up. */
  private static final int STARVED_JOB_DIVISOR = 16;

  private final ClusterState state;
  private final EventLoop loop;
  private final AvailableCapacity availableCapacity;
  private final CapacityReservation reservation;
  private final StarvationPrevention starvation;
  private final QueueRanker ranker;
  private final TaskAssigner assigner;
  private final MinimumSharePass minimumSharePass;
  private final PreemptionPass preemptionPass;
  private final AssignAheadPass assignAheadPass;

  /**
   * Creates the cycles of one term.
   *
   * @param loop the event loop that runs the cycles
   * @param term the leader's term; the numbers of attempts start from it
   * @param state the leader's view of the cluster
   * @param availableCapacity collects the capacity that can be assigned
   * @param settings settings of the cycle
   * @param actions carries out what the cycles decide
   */
  public SchedulingCycle(
      EventLoop loop,
      Revision term,
      ClusterState state,
      AvailableCapacity availableCapacity,
      SchedulingSettings settings,
      TaskActions actions) {
    this.loop = loop;
    this.state = state;
    this.availableCapacity = availableCapacity;
    this.reservation = state.reservation();
    this.starvation = new StarvationPrevention(settings.maxWaitSeconds(), loop.now());
    this.ranker = new QueueRanker(loop, state, settings);
    this.assigner = new TaskAssigner(loop, term, state, actions);
    this.minimumSharePass = new MinimumSharePass(assigner);
    this.preemptionPass = new PreemptionPass(loop, state, settings, actions);
    // Capacity that becomes free must first refill the reservations of classes with a start-time
    // objective; tasks queued at owners would take it before.
    double aheadSeconds = reservation.hasReservedClasses() ? 0 : settings.assignAheadSeconds();
    this.assignAheadPass =
        new AssignAheadPass(state, availableCapacity, assigner, minimumSharePass, aheadSeconds);
  }

  /** Runs one cycle. */
  public void run() {
    RankedQueue queue = ranker.refresh();
    CycleState cycle =
        new CycleState(
            queue,
            availableCapacity.collect(minRequested(queue.ranking().rankedJobs())),
            state.usageByTeam());
    startStarvedJobs(cycle);
    minimumSharePass.run(cycle, SchedulingCycle::isActive);
    assignAll(cycle, job -> isActive(job) && reservation.appliesTo(job.spec()));
    reserveCapacity(cycle);
    assignAll(cycle, job -> isActive(job) && !reservation.appliesTo(job.spec()));
    // Only jobs that still wait after all capacity is assigned may preempt.
    preemptionPass.run(cycle);
    assignAheadPass.run(cycle);
  }

  /** The ranking of the latest cycle; it changes little between cycles. */
  public JobRanking ranking() {
    return ranker.latest().ranking();
  }

  private static boolean isActive(Job job) {
    return job.state() == Job.State.ACTIVE;
  }

  /** The smallest amount of each resource that a waiting task or a reservation requests. */
  private Resources minRequested(List<Job> order) {
    Resources min = Resources.UNBOUNDED;
    for (Job job : order) {
      if (isActive(job) && job.waitingCount() > 0) {
        min = UnschedulableRequests.minimum(min, job.spec().perTask());
      }
    }
    Resources minReserved =
        UnschedulableRequests.minimumOf(
            reservation.reservations(loop.now()), CapacityReservation.Reservation::request);
    return UnschedulableRequests.minimum(min, minReserved);
  }

  /**
   * Assigns some tasks of each of the largest jobs that waited too long, regardless of their rank.
   */
  private void startStarvedJobs(CycleState cycle) {
    for (Job job : starvation.jobsToStart(state.jobs().all(), loop.now(), loop.wallMillis())) {
      int maxTasks = (job.spec().taskCount() + STARVED_JOB_DIVISOR - 1) / STARVED_JOB_DIVISOR;
      assigner.assign(job, maxTasks, cycle);
    }
  }

  private void assignAll(CycleState cycle, Predicate<Job> eligible) {
    for (Job job : cycle.rankedJobs()) {
      if (eligible.test(job)) {
        assigner.assign(job, cycle);
      }
    }
  }

  private void reserveCapacity(CycleState cycle) {
    for (CapacityReservation.Reservation reserved : reservation.reservations(loop.now())) {
      BinPacker.placeTasks(reserved.request(), reserved.count(), cycle.capacities());
    }
  }
}
