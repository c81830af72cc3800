package org.mulleinshift.autoscaling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.membership.LeadershipTerm;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.model.Machine;
import org.mulleinshift.model.ProvisioningRequest;
import org.mulleinshift.placement.BinPacker;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.placement.UnschedulableRequests;
import org.mulleinshift.protocol.CloudMachine;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.protocol.peer.MachineStatus;
import org.mulleinshift.protocol.peer.UnknownWorkerReport;
import org.mulleinshift.scheduling.ClusterState;
import org.mulleinshift.sharding.MachinePhase;
import org.mulleinshift.sharding.OwnedMachine;
import org.mulleinshift.sharding.ShardView;
import org.mulleinshift.store.TransactionBatcher;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sizes the fleet from the queue by the forward walk; rents, adopts and returns machines. */
public final class Autoscaler implements Provisioner.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);
  private static final int DELAYED_BOOTS_THRESHOLD = 2;
  private static final int PROBE_FRACTION = 10;

  private final ClusterState state;
  private final LeadershipTerm term;
  private final EventLoop loop;
  private final OfferSelector offers;
  private final Provisioner provisioner;
  private final CapacityPlanner planner;
  private final ScaleIn scaleIn;
  private final CloudInventory inventory;
  private final MachineReleaser releaser;
  private final AutoscalerSettings settings;
  private final BootTimeEstimator bootTimes;
  private final Map<MachineTypeId, Integer> delayedBoots = new HashMap<>();
  private final Map<MachineTypeId, MonotonicTime> probedAt = new HashMap<>();
  private Optional<MonotonicTime> lastResize = Optional.empty();

  /**
   * The autoscaler of one term.
   *
   * @param termNumber part of the names of provisioning requests, which are never used again
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
    this.provisioner = new Provisioner(loop, term, termNumber, batcher, cloud, this);
    this.offers =
        new OfferSelector(
            loop,
            state.catalog(),
            state.shards(),
            settings.refusedPause(),
            provisioner::outstanding);
    this.bootTimes =
        new BootTimeEstimator(settings.defaultBootSeconds(), settings.overdueBootFactor());
    this.planner = new CapacityPlanner(loop, state, demand, provisioner, bootTimes, settings);
    this.releaser = new MachineReleaser(state, term, batcher, cloud);
    this.scaleIn = new ScaleIn(loop, state, planner, releaser, this::isBootDelayed, settings);
    this.inventory = new CloudInventory(loop, term, cloud, this::onListed);
  }

  public Provisioner provisioner() {
    return provisioner;
  }

  public BootTimeEstimator bootTimes() {
    return bootTimes;
  }

  public void start() {
    provisioner.start();
    loop.after(Duration.ofMillis(500), this::runPeriodically);
    loop.after(Duration.ofSeconds(2), inventory::listPeriodically);
  }

  private void runPeriodically() {
    if (term.active()) {
      loop.after(settings.interval(), this::runPeriodically);
      if (term.holdsValidLease()) {
        inspectMachines();
        resize();
        releaser.deleteBatch();
      }
    }
  }

  /** An owner told something new of a machine. */
  public void onMachineStatus(ShardView shard, MachineId id) {
    MachineRecord record = shard.machines().get(id);
    MachineStatus report = shard.statusOf(id).orElse(null);
    if (record == null
        || report == null
        || record.up()
        || !report.getPhase().equals(MachinePhase.CONFIRMED.wireName())) {
      return;
    }
    Machine known = state.machines().track(id);
    shard.machines().put(id, new MachineRecord(record.type(), record.spot(), true));
    // Only a rental seen from its start tells a boot time. Machines that were up before, or
    // that an earlier leader rented, would seem to boot in no time: then there is no horizon
    // and no spacing, and every booting machine seems overdue.
    bootTimes.onUp(record.type(), known.provisionedAt(), known.onUp(loop.now()));
    LOG.info("{} is up after {} s", id, Math.round(known.heldSeconds(loop.now())));
    state.shards().store(shard);
  }

  /** Gives up machines that do not come up, are silent beyond their lease, or fail everything. */
  private void inspectMachines() {
    delayedBoots.clear();
    for (ShardView shard : state.shards().all()) {
      for (Map.Entry<MachineId, MachineRecord> entry : shard.machines().entrySet()) {
        MachineId id = entry.getKey();
        Machine known = state.machines().track(id);
        Optional<MachineType> type = state.catalog().type(entry.getValue().type());
        Optional<MachineStatus> report = shard.statusOf(id);
        Optional<BootTimeEstimator.Outlook> outlook =
            type.filter(t -> !entry.getValue().up())
                .map(t -> bootTimes.outlook(t, known.provisionedAt(), loop.now()));
        boolean overdue = outlook.equals(Optional.of(BootTimeEstimator.Outlook.ABANDONED));
        if (outlook.equals(Optional.of(BootTimeEstimator.Outlook.DELAYED))) {
          delayedBoots.merge(entry.getValue().type(), 1, Integer::sum);
        }
        if (state.isBusy(id, shard.id())) {
          known.markBusy(loop.now());
        }
        boolean silent =
            entry.getValue().up()
                && report.isPresent()
                && report.get().getLiveness().equals(OwnedMachine.Liveness.LOST.wireName());
        if (overdue || silent || state.failures().isQuarantined(id)) {
          releaser.release(
              id, overdue ? "does not come up" : silent ? "is silent" : "fails its tasks");
        }
      }
    }
  }

  private void resize() {
    double horizon = horizon();
    List<QueueSimulation.PendingGroup> waiting = planner.pendingGroups(horizon);
    int demand = waiting.stream().mapToInt(QueueSimulation.PendingGroup::count).sum();
    CapacityPlanner.Plan found = planner.plan(waiting, horizon);
    Set<MachineTypeId> scarce = scarceTypes(found.result().shortage());
    if (!scarce.isEmpty()) {
      // Exception to the paper: what only fits a type that is not to be had gets that type's room,
      // and other tasks are rented for elsewhere.
      List<QueueSimulation.PendingGroup> moved = avoiding(scarce, waiting);
      found = moved.equals(waiting) ? found : planner.plan(moved, horizon);
    }
    List<QueueSimulation.PendingGroup> shortage = found.result().shortage();
    LOG.debug(
        "walk: {} processors, {} waiting, {} short, scarce {}",
        found.clusterCpus(),
        demand,
        shortage.stream().mapToInt(QueueSimulation.PendingGroup::count).sum(),
        scarce);
    if (!shortage.isEmpty() && resizeAllowed(found, horizon)) {
      scaleOut(shortage);
    }
    delayedBoots.keySet().forEach(type -> probeBoots(type, waiting));
    Set<MachineTypeId> wanted = planner.typesFor(waiting);
    scaleIn.uncordon(wanted);
    scaleIn.consolidate(wanted);
    scaleIn.releaseIdle(found.result().used());
  }

  /**
   * Resizes are a boot time apart. Exception to the paper: a shortage that is large beside the
   * fleet cannot be an error of the walk, and at a start or in a burst each boot time counts.
   */
  private boolean resizeAllowed(CapacityPlanner.Plan plan, double horizon) {
    double missing =
        plan.result().shortage().stream()
            .mapToDouble(group -> group.count() * group.request().perTask().cpus())
            .sum();
    boolean large = missing > settings.resizeAtOnceShare() * plan.clusterCpus();
    return large || lastResize.isEmpty() || loop.now().secondsSince(lastResize.get()) >= horizon;
  }

  /** The types that tasks wait for although the cloud has no more of them. */
  private Set<MachineTypeId> scarceTypes(List<QueueSimulation.PendingGroup> shortage) {
    Set<MachineTypeId> scarce = new HashSet<>();
    for (QueueSimulation.PendingGroup group : shortage) {
      if (!offers.hasOfferFor(group.request())) {
        for (MachineType type : state.catalog().types().values()) {
          if (group.request().fits(type)) {
            scarce.add(type.id());
          }
        }
      }
    }
    return scarce;
  }

  private List<QueueSimulation.PendingGroup> avoiding(
      Set<MachineTypeId> scarce, List<QueueSimulation.PendingGroup> waiting) {
    List<MachineTypeId> others =
        state.catalog().types().keySet().stream().filter(id -> !scarce.contains(id)).toList();
    List<QueueSimulation.PendingGroup> groups = new ArrayList<>();
    for (QueueSimulation.PendingGroup group : waiting) {
      ResourceRequest elsewhere = group.request().restrictedTo(others);
      boolean canMove = !elsewhere.types().isEmpty() && offers.hasOfferFor(elsewhere);
      groups.add(canMove ? group.with(elsewhere) : group);
    }
    return groups;
  }

  private double horizon() {
    double least = Double.MAX_VALUE;
    for (MachineType type : state.catalog().types().values()) {
      least = Math.min(least, bootTimes.expected(type));
    }
    return least;
  }

  private void scaleOut(List<QueueSimulation.PendingGroup> shortage) {
    Map<OfferSelector.Offer, Integer> wanted = new LinkedHashMap<>();
    // Only machines that have room left for some group: a long queue rents for many.
    List<MachineCapacity> open = new ArrayList<>();
    Resources least =
        UnschedulableRequests.minimumOf(shortage, QueueSimulation.PendingGroup::request);
    for (QueueSimulation.PendingGroup group : shortage) {
      int left = group.count() - BinPacker.fill(group.request(), group.count(), open);
      while (left > 0) {
        Optional<OfferSelector.Offer> offer =
            offers.bestOffer(group.request(), left, group.spotOnly(), wanted);
        if (offer.isEmpty() || offers.isSaturated(offer.get(), wanted)) {
          // The next walk goes on from what the cloud answers.
          break;
        }
        int number = wanted.merge(offer.get(), 1, Integer::sum);
        MachineCapacity capacity = newMachineCapacity(offer.get(), number);
        left -= BinPacker.fill(group.request(), left, List.of(capacity));
        open.add(capacity);
      }
      open.removeIf(capacity -> !least.fitsInto(capacity.available()));
    }
    wanted.keySet().removeIf(offer -> isBootDelayed(offer.type()));
    wanted.forEach(provisioner::provision);
    if (!wanted.isEmpty()) {
      lastResize = Optional.of(loop.now());
    }
  }

  boolean isBootDelayed(MachineTypeId type) {
    return delayedBoots.getOrDefault(type, 0) >= DELAYED_BOOTS_THRESHOLD;
  }

  /**
   * While no machine of a type comes up any more, those on their way count as room, and only a few
   * are rented, a boot time apart, to see whether that is over: more would be paid for in vain.
   */
  private void probeBoots(MachineTypeId type, List<QueueSimulation.PendingGroup> waiting) {
    MonotonicTime last = probedAt.get(type);
    if (!isBootDelayed(type) || (last != null && loop.now().secondsSince(last) < horizon())) {
      return;
    }
    for (QueueSimulation.PendingGroup group : waiting) {
      ResourceRequest need = group.request().restrictedTo(List.of(type));
      Optional<OfferSelector.Offer> offer =
          need.types().isEmpty()
              ? Optional.empty()
              : offers.bestOffer(need, 1, group.spotOnly(), Map.of());
      if (offer.isPresent()) {
        probedAt.put(type, loop.now());
        provisioner.provision(offer.get(), 1 + delayedBoots.get(type) / PROBE_FRACTION);
        return;
      }
    }
  }

  private MachineCapacity newMachineCapacity(OfferSelector.Offer offer, int number) {
    MachineType type = state.catalog().type(offer.type()).get();
    return new MachineCapacity(
        new MachineId("new-" + number),
        MachineCapacity.NO_SHARD,
        offer.zone(),
        type,
        offer.spot(),
        type.size(),
        Set.of());
  }

  @Override
  public void onRefused(ProvisioningRequest request, boolean some) {
    offers.onRefused(OfferSelector.Offer.of(request), some);
    // What was not given is no room: the next walk may look elsewhere at once.
    lastResize = Optional.empty();
  }

  @Override
  public void onProvisioned(ProvisioningRequest request, List<MachineId> machines) {
    if (machines.size() >= request.count()) {
      offers.onFulfilled(OfferSelector.Offer.of(request));
    }
    Set<ShardView> touched = new LinkedHashSet<>();
    for (MachineId machine : machines) {
      if (!releaser.isDeleted(machine) && !state.shards().contains(machine)) {
        ShardView shard = shardWithSpace(request.zone());
        shard.machines().put(machine, new MachineRecord(request.type(), request.spot(), false));
        state.machines().addProvisioned(machine, request.plannedAt());
        touched.add(shard);
      }
    }
    touched.forEach(state.shards()::store);
  }

  private ShardView shardWithSpace(ZoneId zone) {
    // A shard's record must stay below the store's limit for a value.
    int most = settings.maxShardMachines();
    int number = 0;
    for (ShardView shard : state.shards().all()) {
      if (shard.zone().equals(zone)) {
        if (shard.machines().size() < most) {
          return shard;
        }
        number++;
      }
    }
    ShardId id = new ShardId(zone + "-" + number);
    while (state.view().unreadableShards().contains(id)) {
      number++;
      id = new ShardId(zone + "-" + number);
    }
    ShardView shard = new ShardView(id, zone, loop.now());
    state.shards().add(shard);
    return shard;
  }

  private void onListed(CloudMachine machine) {
    if (releaser.isReleased(machine.id())) {
      return;
    }
    state
        .machines()
        .find(machine.id())
        .ifPresent(known -> known.learnAge(loop.now(), machine.age()));
    if (machine.phase() == CloudMachine.Phase.FAILED) {
      releaser.release(machine.id(), "has failed");
    } else if (!state.shards().contains(machine.id())) {
      adopt(machine.id(), machine.type(), machine.zone(), machine.spot());
    }
  }

  public void onUnknownWorker(UnknownWorkerReport report) {
    MachineId id = new MachineId(report.getMachine());
    if (!state.shards().contains(id) && !releaser.isReleased(id)) {
      adopt(
          id,
          new MachineTypeId(report.getMachineType()),
          new ZoneId(report.getZone()),
          report.getSpot());
    }
  }

  /** Machines that nobody expected are used: a late rental, or one whose answer was lost. */
  private void adopt(MachineId id, MachineTypeId type, ZoneId zone, boolean spot) {
    // It may belong to a shard that this build can't read, and then has an owner already.
    if (state.catalog().type(type).isEmpty() || !state.view().unreadableShards().isEmpty()) {
      return;
    }
    LOG.info("adopting {}", id);
    ShardView shard = shardWithSpace(zone);
    shard.machines().put(id, new MachineRecord(type, spot, false));
    state.machines().track(id);
    state.shards().store(shard);
  }
}
