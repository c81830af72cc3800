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
  private static final int DOUBTED_FROM = 2;
  private static final int PROBE_OF = 10;

  /** The way to the cloud. */
  public record Cloud(AsyncHttpClient calls, InetSocketAddress address, RateLimiter budget) {}

  private final Leader leader;
  private final Leader.Surroundings context;
  private final EventLoop loop;
  private final Cloud cloud;
  private final Map<MachineId, Machine> tracked = new HashMap<>();
  private final OfferSelector market;
  private final Provisioner rentals;
  private final CapacityPlanner plan;
  private final ScaleIn draining;
  private final CloudInventory list;
  private final BootTimeEstimator boots;
  private final Map<MachineTypeId, Integer> doubtful = new HashMap<>();
  private final Map<MachineTypeId, MonotonicTime> probedAt = new HashMap<>();
  private final Set<MachineId> deleting = new LinkedHashSet<>();
  private final Set<MachineId> deleted = BoundedMap.set(REMEMBERED_DELETED);
  private Optional<MonotonicTime> lastResize = Optional.empty();
  private boolean deleteInFlight;

  public Autoscaler(Leader leader, Leader.Surroundings context, Cloud cloud, Revision term) {
    this.leader = leader;
    this.context = context;
    this.loop = context.loop();
    this.cloud = cloud;
    this.market =
        new OfferSelector(
            loop,
            context.catalog(),
            leader.shards(),
            context.tunables().seconds(Tunables.Key.REFUSED_PAUSE_S),
            offer -> rentals().unanswered(offer));
    this.rentals = new Provisioner(leader, context, cloud, term, this);
    this.plan = new CapacityPlanner(this, leader, context);
    this.draining = new ScaleIn(this, plan, leader, context);
    this.list = new CloudInventory(leader, context, cloud, this::listed);
    this.boots =
        new BootTimeEstimator(
            context.tunables().number(Tunables.Key.BOOT_DEFAULT_S),
            context.tunables().number(Tunables.Key.BOOT_OVERDUE_FACTOR));
  }

  public Provisioner rentals() {
    return rentals;
  }

  public BootTimeEstimator boots() {
    return boots;
  }

  public void start() {
    rentals.start();
    loop.after(Duration.ofMillis(500), this::walkRegularly);
    loop.after(Duration.ofSeconds(2), list::listRegularly);
  }

  private void walkRegularly() {
    if (leader.leading()) {
      loop.after(context.tunables().seconds(Tunables.Key.WALK_S), this::walkRegularly);
      if (context.certain().getAsBoolean()) {
        inspectMachines();
        walk();
        deleteSome();
      }
    }
  }

  /** Must take no new task. */
  public boolean closed(MachineId machine) {
    Machine known = tracked.get(machine);
    return known != null && known.closed();
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
  public void onReport(ShardView shard, MachineId id) {
    MachineRecord record = shard.machines().get(id);
    MachineStatus report = shard.reportOf(id).orElse(null);
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
    boots.cameUp(record.type(), known.rentedAt(), known.cameUp(loop.now()));
    LOG.info("{} is up after {} s", id, Math.round(known.heldSeconds(loop.now())));
    store(shard);
  }

  private void store(ShardView shard) {
    leader.batcher().submit(StoreKeys.shard(shard.id()), new ShardUnit(shard));
  }

  public void storeWhenIdle(ShardView shard) {
    leader.batcher().submitIdle(StoreKeys.shard(shard.id()), new ShardUnit(shard));
  }

  /** Gives up machines that do not come up, are silent beyond their lease, or fail everything. */
  private void inspectMachines() {
    doubtful.clear();
    for (ShardView shard : leader.shards().values()) {
      for (Map.Entry<MachineId, MachineRecord> entry : shard.machines().entrySet()) {
        MachineId id = entry.getKey();
        Machine known = track(id);
        Optional<MachineType> type = context.catalog().type(entry.getValue().type());
        Optional<MachineStatus> report = shard.reportOf(id);
        Optional<BootTimeEstimator.Outlook> outlook =
            type.filter(t -> !entry.getValue().up()).map(t -> outlook(t, known));
        boolean overdue = outlook.equals(Optional.of(BootTimeEstimator.Outlook.HOPELESS));
        if (outlook.equals(Optional.of(BootTimeEstimator.Outlook.DOUBTFUL))) {
          doubtful.merge(entry.getValue().type(), 1, Integer::sum);
        }
        if (leader.busy(id, shard.id())) {
          known.busy(loop.now());
        }
        boolean silent =
            entry.getValue().up()
                && report.isPresent()
                && report.get().getLiveness().equals(OwnedMachine.Silence.GONE.wireName());
        if (overdue || silent || leader.blame().faulty(id)) {
          giveUp(id, overdue ? "does not come up" : silent ? "is silent" : "fails its tasks");
        }
      }
    }
  }

  BootTimeEstimator.Outlook outlook(MachineType type, Machine machine) {
    return boots.outlook(type, machine.rentedAt(), loop.now());
  }

  void giveUp(MachineId machine, String why) {
    if (track(machine).giveBack()) {
      deleting.add(machine);
      LOG.info("{} {}: returning it", machine, why);
      touchShardOf(machine);
    }
  }

  /** The shard's owner hears which machines take no new task. */
  void touchShardOf(MachineId machine) {
    leader.shards().values().stream()
        .filter(shard -> shard.machines().containsKey(machine))
        .forEach(shard -> leader.touch(shard.id()));
  }

  private void deleteSome() {
    if (deleting.isEmpty() || deleteInFlight || !cloud.budget().take(1, 0)) {
      return;
    }
    List<MachineId> batch = deleting.stream().limit(CloudCodec.MAX_DELETED).toList();
    deleteInFlight = true;
    // A deposed leader's picture is old: a machine that it drained may have tasks by now.
    leader.batcher().ifTermStands(() -> delete(batch), () -> deleteInFlight = false);
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
                gone(batch);
              }
            });
  }

  private void gone(List<MachineId> machines) {
    machines.forEach(deleting::remove);
    deleted.addAll(machines);
    machines.forEach(tracked::remove);
    leader.blame().gone(machines);
    for (ShardView shard : leader.shards().values()) {
      if (shard.machines().keySet().removeAll(machines)) {
        store(shard);
      }
    }
  }

  private void walk() {
    double horizon = horizon();
    List<QueueSimulation.Waiting> waiting = plan.waiting(horizon);
    int demand = waiting.stream().mapToInt(QueueSimulation.Waiting::count).sum();
    CapacityPlanner.Plan found = plan.plan(waiting, horizon);
    Set<MachineTypeId> scarce = scarceTypes(found.result().shortage());
    if (!scarce.isEmpty()) {
      // Exception to the paper: what only fits a type that is not to be had gets that type's room,
      // and other tasks are rented for elsewhere.
      List<QueueSimulation.Waiting> moved = awayFrom(scarce, waiting);
      found = moved.equals(waiting) ? found : plan.plan(moved, horizon);
    }
    List<QueueSimulation.Waiting> shortage = found.result().shortage();
    LOG.debug(
        "walk: {} processors, {} waiting, {} short, scarce {}",
        found.fleetCpus(),
        demand,
        shortage.stream().mapToInt(QueueSimulation.Waiting::count).sum(),
        scarce);
    if (!shortage.isEmpty() && resizeAllowed(found, horizon)) {
      rentFor(shortage);
    }
    doubtful.keySet().forEach(type -> probe(type, waiting));
    Set<MachineTypeId> wanted = plan.typesFor(waiting);
    draining.reopen(wanted);
    draining.consolidate(wanted);
    draining.drain(found.result().used());
  }

  /**
   * Resizes are a boot time apart. Exception to the paper: a shortage that is large beside the
   * fleet cannot be an error of the walk, and at a start or in a burst each boot time counts.
   */
  private boolean resizeAllowed(CapacityPlanner.Plan plan, double horizon) {
    double missing =
        plan.result().shortage().stream()
            .mapToDouble(group -> group.count() * group.need().perTask().cpus())
            .sum();
    boolean large =
        missing > context.tunables().number(Tunables.Key.RESIZE_AT_ONCE) * plan.fleetCpus();
    return large || lastResize.isEmpty() || loop.now().secondsSince(lastResize.get()) >= horizon;
  }

  /** The types that tasks wait for although the cloud has no more of them. */
  private Set<MachineTypeId> scarceTypes(List<QueueSimulation.Waiting> shortage) {
    Set<MachineTypeId> scarce = new HashSet<>();
    for (QueueSimulation.Waiting group : shortage) {
      if (!market.offers(group.need())) {
        for (MachineType type : context.catalog().types().values()) {
          if (group.need().mayUse(type)) {
            scarce.add(type.id());
          }
        }
      }
    }
    return scarce;
  }

  private List<QueueSimulation.Waiting> awayFrom(
      Set<MachineTypeId> scarce, List<QueueSimulation.Waiting> waiting) {
    List<MachineTypeId> others =
        context.catalog().types().keySet().stream().filter(id -> !scarce.contains(id)).toList();
    List<QueueSimulation.Waiting> groups = new ArrayList<>();
    for (QueueSimulation.Waiting group : waiting) {
      ResourceRequest elsewhere = group.need().onlyOn(others);
      boolean canMove = !elsewhere.types().isEmpty() && market.offers(elsewhere);
      groups.add(canMove ? group.with(elsewhere) : group);
    }
    return groups;
  }

  private double horizon() {
    double least = Double.MAX_VALUE;
    for (MachineType type : context.catalog().types().values()) {
      least = Math.min(least, boots.expected(type));
    }
    return least;
  }

  private void rentFor(List<QueueSimulation.Waiting> shortage) {
    Map<OfferSelector.Offer, Integer> wanted = new LinkedHashMap<>();
    // Only machines that have room left for some group: a long queue rents for many.
    List<MachineCapacity> open = new ArrayList<>();
    Resources least = UnschedulableRequests.minOf(shortage, QueueSimulation.Waiting::need);
    for (QueueSimulation.Waiting group : shortage) {
      int left = group.count() - BinPacker.fill(group.need(), group.count(), open);
      while (left > 0) {
        Optional<OfferSelector.Offer> offer =
            market.bestOffer(group.need(), left, group.patient(), wanted);
        if (offer.isEmpty() || market.enough(offer.get(), wanted)) {
          // The next walk goes on from what the cloud answers.
          break;
        }
        int number = wanted.merge(offer.get(), 1, Integer::sum);
        MachineCapacity capacity = freshCapacity(offer.get(), number);
        left -= BinPacker.fill(group.need(), left, List.of(capacity));
        open.add(capacity);
      }
      open.removeIf(capacity -> !least.fitsInto(capacity.free()));
    }
    wanted.keySet().removeIf(offer -> doubted(offer.type()));
    wanted.forEach(rentals::rent);
    if (!wanted.isEmpty()) {
      lastResize = Optional.of(loop.now());
    }
  }

  boolean doubted(MachineTypeId type) {
    return doubtful.getOrDefault(type, 0) >= DOUBTED_FROM;
  }

  /**
   * While no machine of a type comes up any more, those on their way count as room, and only a few
   * are rented, a boot time apart, to see whether that is over: more would be paid for in vain.
   */
  private void probe(MachineTypeId type, List<QueueSimulation.Waiting> waiting) {
    MonotonicTime last = probedAt.get(type);
    if (!doubted(type) || (last != null && loop.now().secondsSince(last) < horizon())) {
      return;
    }
    for (QueueSimulation.Waiting group : waiting) {
      ResourceRequest need = group.need().onlyOn(List.of(type));
      Optional<OfferSelector.Offer> offer =
          need.types().isEmpty()
              ? Optional.empty()
              : market.bestOffer(need, 1, group.patient(), Map.of());
      if (offer.isPresent()) {
        probedAt.put(type, loop.now());
        rentals.rent(offer.get(), 1 + doubtful.get(type) / PROBE_OF);
        return;
      }
    }
  }

  private MachineCapacity freshCapacity(OfferSelector.Offer offer, int number) {
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
  public void refused(ProvisioningRequest request, boolean some) {
    market.refused(OfferSelector.Offer.of(request), some);
    // What was not given is no room: the next walk may look elsewhere at once.
    lastResize = Optional.empty();
  }

  @Override
  public void rented(ProvisioningRequest request, List<MachineId> machines) {
    if (machines.size() >= request.count()) {
      market.given(OfferSelector.Offer.of(request));
    }
    Set<ShardView> touched = new LinkedHashSet<>();
    for (MachineId machine : machines) {
      if (!deleted.contains(machine) && !known(machine)) {
        ShardView shard = shardWithCapacity(request.zone());
        shard.machines().put(machine, new MachineRecord(request.type(), request.spot(), false));
        tracked.put(machine, Machine.rented(request.plannedAt()));
        touched.add(shard);
      }
    }
    touched.forEach(this::store);
  }

  private boolean known(MachineId machine) {
    return leader.shards().values().stream()
        .anyMatch(shard -> shard.machines().containsKey(machine));
  }

  private ShardView shardWithCapacity(ZoneId zone) {
    // A shard's record must stay below the store's limit for a value.
    int most =
        Math.min(
            context.tunables().count(Tunables.Key.SHARD_MACHINES),
            context.settings().cluster().state().minValueBytes() / MACHINE_BYTES);
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
      known.age(loop.now(), machine.age());
    }
    if (machine.phase() == CloudMachine.Phase.FAILED) {
      giveUp(machine.id(), "has failed");
    } else if (!known(machine.id())) {
      adopt(machine.id(), machine.type(), machine.zone(), machine.spot());
    }
  }

  public void onStranger(UnknownWorkerReport report) {
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
    ShardView shard = shardWithCapacity(zone);
    shard.machines().put(id, new MachineRecord(type, spot, false));
    track(id);
    store(shard);
  }

  /** A shard's machines. */
  private final class ShardUnit implements TransactionBatcher.Unit {
    private final ShardView shard;

    ShardUnit(ShardView shard) {
      this.shard = shard;
    }

    @Override
    public List<Write> writes() {
      return List.of(Write.put(StoreKeys.shard(shard.id()), shard.stored()));
    }

    @Override
    public void committed(Revision revision) {
      leader.touch(shard.id());
      leader.cycleSoon();
    }
  }
}
