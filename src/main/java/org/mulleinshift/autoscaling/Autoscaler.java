package org.mulleinshift.autoscaling;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.mulleinshift.membership.LeadershipTerm;
import org.mulleinshift.model.ProvisioningRequest;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.protocol.CloudMachine;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.protocol.peer.UnknownWorkerReport;
import org.mulleinshift.scheduling.ClusterState;
import org.mulleinshift.sharding.ShardView;
import org.mulleinshift.store.TransactionBatcher;
import org.mulleinshift.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Periodically sizes the cluster to the queue: checks machine health, simulates the queue,
 * provisions machines for the shortage, and releases machines that are idle or surplus.
 */
public final class Autoscaler implements Provisioner.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);
  private static final Duration FIRST_RUN_DELAY = Duration.ofMillis(500);
  private static final Duration FIRST_LISTING_DELAY = Duration.ofSeconds(2);

  private final ClusterState state;
  private final LeadershipTerm term;
  private final EventLoop loop;
  private final AutoscalerSettings settings;
  private final BootTimeEstimator bootTimes;
  private final Provisioner provisioner;
  private final OfferSelector offers;
  private final PendingQueue queue;
  private final CapacityPlanner planner;
  private final ScarceTypes scarceTypes;
  private final MachineHealthCheck healthCheck;
  private final ScaleOut scaleOut;
  private final BootProbe bootProbe;
  private final ScaleIn scaleIn;
  private final Consolidator consolidator;
  private final CloudInventory inventory;
  private final MachineReleaser releaser;
  private final MachineRegistrar registrar;

  /**
   * Creates the autoscaler of one leadership term.
   *
   * @param state the leader's view of the cluster
   * @param term tells whether this controller may act as the leader
   * @param termNumber part of the names of provisioning requests, so that no term reuses a name of
   *     another
   * @param batcher writes to the store as the leader of this term
   * @param cloud provisions and deletes machines
   * @param demand the queue that the cluster is sized for
   * @param settings settings of the autoscaler
   */
  public Autoscaler(
      ClusterState state,
      LeadershipTerm term,
      Revision termNumber,
      TransactionBatcher batcher,
      CloudClient cloud,
      Demand demand,
      AutoscalerSettings settings) {
    this.loop = state.loop();
    this.state = state;
    this.term = term;
    this.settings = settings;
    MachineTypeCatalog catalog = state.catalog();
    this.provisioner = new Provisioner(loop, term, termNumber, batcher, cloud, this);
    this.offers =
        new OfferSelector(
            loop,
            catalog,
            state.shards(),
            settings.provisioningBackoff(),
            provisioner::outstandingMachines);
    this.bootTimes =
        new BootTimeEstimator(settings.defaultBootSeconds(), settings.abandonedBootFactor());
    this.queue = new PendingQueue(loop, state, demand, settings);
    this.planner = new CapacityPlanner(loop, state, provisioner, bootTimes, settings);
    this.scarceTypes = new ScarceTypes(catalog, offers);
    this.releaser = new MachineReleaser(state, term, batcher, cloud);
    this.registrar = new MachineRegistrar(state, releaser, settings.maxShardMachines());
    BootMonitor boots = new BootMonitor();
    this.healthCheck = new MachineHealthCheck(loop, state, bootTimes, boots, releaser);
    this.scaleOut =
        new ScaleOut(loop, catalog, offers, provisioner, boots, settings.immediateResizeShare());
    this.bootProbe = new BootProbe(loop, offers, provisioner, boots);
    this.scaleIn = new ScaleIn(loop, state, releaser, boots, settings);
    this.consolidator = new Consolidator(loop, state, planner, settings);
    this.inventory = new CloudInventory(loop, term, cloud, this::onListed);
  }

  /** Returns the component that sends and tracks the provisioning requests of this term. */
  public Provisioner provisioner() {
    return provisioner;
  }

  /** Returns the boot time estimates of this term. */
  public BootTimeEstimator bootTimes() {
    return bootTimes;
  }

  /**
   * Starts the periodic runs and machine listings. Must be called after all stored state was read.
   */
  public void start() {
    provisioner.start();
    loop.after(FIRST_RUN_DELAY, this::runPeriodically);
    loop.after(FIRST_LISTING_DELAY, inventory::listPeriodically);
  }

  private void runPeriodically() {
    if (term.isActive()) {
      loop.after(settings.interval(), this::runPeriodically);
      if (term.hasValidLease()) {
        healthCheck.run();
        resize();
        releaser.deleteBatch();
      }
    }
  }

  private void resize() {
    double horizonSeconds = horizonSeconds();
    List<PendingGroup> waiting = queue.groups(horizonSeconds);
    CapacityPlanner.Plan plan = plan(waiting, horizonSeconds);
    if (!plan.shortage().isEmpty() && scaleOut.isAllowed(plan, horizonSeconds)) {
      scaleOut.provision(plan.shortage());
    }
    bootProbe.probe(waiting, horizonSeconds);
    Set<MachineTypeId> typesInDemand = queue.typesFor(waiting);
    scaleIn.uncordon(typesInDemand);
    consolidator.run(typesInDemand);
    scaleIn.releaseIdle(plan.result().usedMachines());
  }

  private CapacityPlanner.Plan plan(List<PendingGroup> waiting, double horizonSeconds) {
    CapacityPlanner.Plan plan = planner.plan(waiting, horizonSeconds);
    Set<MachineTypeId> scarce = scarceTypes.findIn(plan.shortage());
    if (!scarce.isEmpty()) {
      // Deviation from the paper: tasks that only fit a type the cloud has run out of get the
      // capacity of that type, and machines of other types are provisioned for the other tasks.
      List<PendingGroup> restricted = scarceTypes.restrictToOtherTypes(scarce, waiting);
      plan = restricted.equals(waiting) ? plan : planner.plan(restricted, horizonSeconds);
    }
    LOG.debug(
        "queue simulated, cpus={} waiting={} shortage={} scarce={}",
        plan.clusterCpus(),
        taskCount(waiting),
        taskCount(plan.shortage()),
        scarce);
    return plan;
  }

  private static int taskCount(List<PendingGroup> groups) {
    return groups.stream().mapToInt(PendingGroup::count).sum();
  }

  /**
   * Returns the shortest expected boot time of any type: machines provisioned now come up no
   * sooner.
   */
  private double horizonSeconds() {
    double shortest = Double.MAX_VALUE;
    for (MachineType type : state.catalog().types().values()) {
      shortest = Math.min(shortest, bootTimes.expectedSeconds(type));
    }
    return shortest;
  }

  /** Called when the owner of a shard reported a new status of a machine. */
  public void onMachineStatus(ShardView shard, MachineId id) {
    healthCheck.onMachineStatus(shard, id);
  }

  @Override
  public void onRefused(ProvisioningRequest request, Refusal refusal) {
    offers.onRefused(Offer.of(request), refusal);
    scaleOut.onRefused();
    if (refusal == Refusal.TOTAL) {
      bootProbe.onRefused(Offer.of(request));
    }
  }

  @Override
  public void onProvisioned(ProvisioningRequest request, List<MachineId> machines) {
    if (machines.size() >= request.count()) {
      offers.onFulfilled(Offer.of(request));
    }
    registrar.registerProvisioned(request, machines);
  }

  private void onListed(CloudMachine machine) {
    MachineId id = machine.id();
    if (releaser.isReleased(id)) {
      return;
    }
    state.machines().find(id).ifPresent(known -> known.learnAge(loop.now(), machine.age()));
    if (machine.phase() == CloudMachine.Phase.FAILED) {
      releaser.release(id, ReleaseReason.FAILED);
    } else {
      registrar.registerUnexpected(id, machine.type(), machine.zone(), machine.spot());
    }
  }

  /**
   * Called when a worker whose machine is in no shard reported to some controller. Registers the
   * machine, unless this leader has released it.
   */
  public void onUnknownWorker(UnknownWorkerReport report) {
    MachineId id = new MachineId(report.getMachine());
    if (!releaser.isReleased(id)) {
      registrar.registerUnexpected(
          id,
          new MachineTypeId(report.getMachineType()),
          new ZoneId(report.getZone()),
          report.getSpot());
    }
  }
}
