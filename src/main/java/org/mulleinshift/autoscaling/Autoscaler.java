package org.mulleinshift.autoscaling;

import java.net.InetSocketAddress;
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
import org.mulleinshift.leader.Leader;
import org.mulleinshift.memory.BoundedMap;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.model.Machine;
import org.mulleinshift.model.ProvisioningRequest;
import org.mulleinshift.placement.BinPacker;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.placement.UnschedulableRequests;
import org.mulleinshift.protocol.CloudCodec;
import org.mulleinshift.protocol.CloudMachine;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.protocol.peer.MachineStatus;
import org.mulleinshift.protocol.peer.UnknownWorkerReport;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.sharding.MachinePhase;
import org.mulleinshift.sharding.OwnedMachine;
import org.mulleinshift.sharding.ShardView;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.TransactionBatcher;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.MonotonicTime;
import org.mulleinshift.transport.RateLimiter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sizes the fleet from the queue by the forward walk; rents, adopts and returns machines. */
public final class Autoscaler implements Provisioner.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);
  private static final Duration DEADLINE = Duration.ofSeconds(5);
  private static final int REMEMBERED_DELETED = 5000;
  private static final int MACHINE_BYTES = 128;
  private static final int DELAYED_BOOTS_THRESHOLD = 2;
  private static final int PROBE_FRACTION = 10;

  /** The way to the cloud. */
  public record Cloud(AsyncHttpClient calls, InetSocketAddress address, RateLimiter budget) {}

  private final Leader leader;
  private final Leader.Context context;
  private final EventLoop loop;
  private final Cloud cloud;
  private final Map<MachineId, Machine> tracked = new HashMap<>();
  private final OfferSelector offers;
  private final Provisioner provisioner;
  private final CapacityPlanner planner;
  private final ScaleIn scaleIn;
  private final CloudInventory inventory;
  private final BootTimeEstimator bootTimes;
  private final Map<MachineTypeId, Integer> delayedBoots = new HashMap<>();
  private final Map<MachineTypeId, MonotonicTime> probedAt = new HashMap<>();
  private final Set<MachineId> deleting = new LinkedHashSet<>();
  private final Set<MachineId> deleted = BoundedMap.set(REMEMBERED_DELETED);
  private Optional<MonotonicTime> lastResize = Optional.empty();
  private boolean deleteInFlight;

  public Autoscaler(Leader leader, Leader.Context context, Cloud cloud, Revision term) {
    this.leader = leader;
    this.context = context;
    this.loop = context.loop();
    this.cloud = cloud;
    this.offers =
        new OfferSelector(
            loop,
            context.catalog(),
            leader.shards(),
            context.tunables().seconds(Tunables.Key.REFUSED_PAUSE_S),
            offer -> provisioner().outstanding(offer));
    this.provisioner = new Provisioner(leader, context, cloud, term, this);
    this.planner = new CapacityPlanner(this, leader, context);
    this.scaleIn = new ScaleIn(this, planner, leader, context);
    this.inventory = new CloudInventory(leader, context, cloud, this::listed);
    this.bootTimes =
        new BootTimeEstimator(
            context.tunables().number(Tunables.Key.BOOT_DEFAULT_S),
            context.tunables().number(Tunables.Key.BOOT_OVERDUE_FACTOR));
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
    if (leader.leading()) {
      loop.after(context.tunables().seconds(Tunables.Key.WALK_S), this::runPeriodically);
      if (context.holdsValidLease().getAsBoolean()) {
        inspectMachines();
        resize();
        deleteReleased();
      }
    }
  }

  /** Must take no new task. */
  public boolean isCordoned(MachineId machine) {
    Machine known = tracked.get(machine);
    return known != null && known.cordoned();
  }

  private boolean recordedUp(MachineId machine) {
    return leader.shards().values().stream()
        .map(shard -> shard.machines().get(machine))
        .anyMatch(record -> record != null && record.up());
  }

  Machine track(MachineId machine) {
    return tracked.computeIfAbsent(machine, key -> Machine.found(loop.now(), recordedUp(key)));
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
    Machine known = track(id);
    shard.machines().put(id, new MachineRecord(record.type(), record.spot(), true));
    // Only a rental seen from its start tells a boot time. Machines that were up before, or
    // that an earlier leader rented, would seem to boot in no time: then there is no horizon
    // and no spacing, and every booting machine seems overdue.
    bootTimes.onUp(record.type(), known.provisionedAt(), known.onUp(loop.now()));
    LOG.info("{} is up after {} s", id, Math.round(known.heldSeconds(loop.now())));
    store(shard);
  }

  private void store(ShardView shard) {
    leader.batcher().submit(StoreKeys.shard(shard.id()), new ShardMutation(shard));
  }

  public void storeWhenIdle(ShardView shard) {
    leader.batcher().submitWhenIdle(StoreKeys.shard(shard.id()), new ShardMutation(shard));
  }

  /** Gives up machines that do not come up, are silent beyond their lease, or fail everything. */
  private void inspectMachines() {
    delayedBoots.clear();
    for (ShardView shard : leader.shards().values()) {
      for (Map.Entry<MachineId, MachineRecord> entry : shard.machines().entrySet()) {
        MachineId id = entry.getKey();
        Machine known = track(id);
        Optional<MachineType> type = context.catalog().type(entry.getValue().type());
        Optional<MachineStatus> report = shard.statusOf(id);
        Optional<BootTimeEstimator.Outlook> outlook =
            type.filter(t -> !entry.getValue().up()).map(t -> outlook(t, known));
        boolean overdue = outlook.equals(Optional.of(BootTimeEstimator.Outlook.ABANDONED));
        if (outlook.equals(Optional.of(BootTimeEstimator.Outlook.DELAYED))) {
          delayedBoots.merge(entry.getValue().type(), 1, Integer::sum);
        }
        if (leader.isBusy(id, shard.id())) {
          known.markBusy(loop.now());
        }
        boolean silent =
            entry.getValue().up()
                && report.isPresent()
                && report.get().getLiveness().equals(OwnedMachine.Liveness.LOST.wireName());
        if (overdue || silent || leader.failures().isQuarantined(id)) {
          release(id, overdue ? "does not come up" : silent ? "is silent" : "fails its tasks");
        }
      }
    }
  }

  BootTimeEstimator.Outlook outlook(MachineType type, Machine machine) {
    return bootTimes.outlook(type, machine.provisionedAt(), loop.now());
  }

  void release(MachineId machine, String why) {
    if (track(machine).release()) {
      deleting.add(machine);
      LOG.info("{} {}: returning it", machine, why);
      markShardChanged(machine);
    }
  }

  /** The shard's owner hears which machines take no new task. */
  void markShardChanged(MachineId machine) {
    leader.shards().values().stream()
        .filter(shard -> shard.machines().containsKey(machine))
        .forEach(shard -> leader.markShardChanged(shard.id()));
  }

  private void deleteReleased() {
    if (deleting.isEmpty() || deleteInFlight || !cloud.budget().tryAcquire(1, 0)) {
      return;
    }
    List<MachineId> batch = deleting.stream().limit(CloudCodec.MAX_DELETED).toList();
    deleteInFlight = true;
    // A deposed leader's picture is old: a machine that it drained may have tasks by now.
    leader.batcher().ifStillLeader(() -> delete(batch), () -> deleteInFlight = false);
  }

  private void delete(List<MachineId> batch) {
    cloud
        .calls()
        .call(
            cloud.address(),
            HttpRequest.post(CloudCodec.DELETE, CloudCodec.delete(batch), DEADLINE),
            reply -> {
              deleteInFlight = false;
              // Only a 200 proves that the machines and all on them are gone.
              if (reply.ok() && leader.leading()) {
                onDeleted(batch);
              }
            });
  }

  private void onDeleted(List<MachineId> machines) {
    machines.forEach(deleting::remove);
    deleted.addAll(machines);
    machines.forEach(tracked::remove);
    leader.failures().onMachinesDeleted(machines);
    for (ShardView shard : leader.shards().values()) {
      if (shard.machines().keySet().removeAll(machines)) {
        store(shard);
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
    boolean large =
        missing > context.tunables().number(Tunables.Key.RESIZE_AT_ONCE) * plan.clusterCpus();
    return large || lastResize.isEmpty() || loop.now().secondsSince(lastResize.get()) >= horizon;
  }

  /** The types that tasks wait for although the cloud has no more of them. */
  private Set<MachineTypeId> scarceTypes(List<QueueSimulation.PendingGroup> shortage) {
    Set<MachineTypeId> scarce = new HashSet<>();
    for (QueueSimulation.PendingGroup group : shortage) {
      if (!offers.hasOfferFor(group.request())) {
        for (MachineType type : context.catalog().types().values()) {
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
        context.catalog().types().keySet().stream().filter(id -> !scarce.contains(id)).toList();
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
    for (MachineType type : context.catalog().types().values()) {
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
    MachineType type = context.catalog().type(offer.type()).get();
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
      if (!deleted.contains(machine) && !known(machine)) {
        ShardView shard = shardWithSpace(request.zone());
        shard.machines().put(machine, new MachineRecord(request.type(), request.spot(), false));
        tracked.put(machine, Machine.provisioned(request.plannedAt()));
        touched.add(shard);
      }
    }
    touched.forEach(this::store);
  }

  private boolean known(MachineId machine) {
    return leader.shards().values().stream()
        .anyMatch(shard -> shard.machines().containsKey(machine));
  }

  private ShardView shardWithSpace(ZoneId zone) {
    // A shard's record must stay below the store's limit for a value.
    int most =
        Math.min(
            context.tunables().count(Tunables.Key.SHARD_MACHINES),
            context.settings().cluster().store().minValueBytes() / MACHINE_BYTES);
    int number = 0;
    for (ShardView shard : leader.shards().values()) {
      if (shard.zone().equals(zone)) {
        if (shard.machines().size() < most) {
          return shard;
        }
        number++;
      }
    }
    ShardId id = new ShardId(zone + "-" + number);
    while (context.view().unreadableShards().contains(id)) {
      number++;
      id = new ShardId(zone + "-" + number);
    }
    ShardView shard = new ShardView(id, zone, loop.now());
    leader.shards().put(id, shard);
    return shard;
  }

  private void listed(CloudMachine machine) {
    if (deleted.contains(machine.id()) || deleting.contains(machine.id())) {
      return;
    }
    Machine known = tracked.get(machine.id());
    if (known != null) {
      known.learnAge(loop.now(), machine.age());
    }
    if (machine.phase() == CloudMachine.Phase.FAILED) {
      release(machine.id(), "has failed");
    } else if (!known(machine.id())) {
      adopt(machine.id(), machine.type(), machine.zone(), machine.spot());
    }
  }

  public void onUnknownWorker(UnknownWorkerReport report) {
    MachineId id = new MachineId(report.getMachine());
    if (!known(id) && !deleted.contains(id) && !deleting.contains(id)) {
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
    if (context.catalog().type(type).isEmpty() || !context.view().unreadableShards().isEmpty()) {
      return;
    }
    LOG.info("adopting {}", id);
    ShardView shard = shardWithSpace(zone);
    shard.machines().put(id, new MachineRecord(type, spot, false));
    track(id);
    store(shard);
  }

  /** A shard's machines. */
  private final class ShardMutation implements TransactionBatcher.Mutation {
    private final ShardView shard;

    ShardMutation(ShardView shard) {
      this.shard = shard;
    }

    @Override
    public List<Write> writes() {
      return List.of(Write.put(StoreKeys.shard(shard.id()), shard.storedValue()));
    }

    @Override
    public void onCommitted(Revision revision) {
      leader.markShardChanged(shard.id());
      leader.scheduleCycle();
    }
  }
}
