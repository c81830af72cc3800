package org.mulleinshift.coordination;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.bookkeeping.ControlView.BlockRecord;
import org.mulleinshift.bookkeeping.ControlView.MachineRecord;
import org.mulleinshift.bookkeeping.Delegation;
import org.mulleinshift.bookkeeping.Job;
import org.mulleinshift.bookkeeping.Keys;
import org.mulleinshift.bookkeeping.LeaderJournal;
import org.mulleinshift.bookkeeping.Machine;
import org.mulleinshift.bookkeeping.Rental;
import org.mulleinshift.protocol.BadMessage;
import org.mulleinshift.protocol.BlockId;
import org.mulleinshift.protocol.CloudCodec;
import org.mulleinshift.protocol.CloudMachine;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StateCodec.Item;
import org.mulleinshift.protocol.StateCodec.Write;
import org.mulleinshift.protocol.TeamId;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.protocol.peer.MachineReport;
import org.mulleinshift.protocol.peer.StrangerReport;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpCaller;
import org.mulleinshift.transport.HttpReply;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.RateBudget;
import org.mulleinshift.transport.SteadyTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sizes the fleet from the queue by the forward walk; rents, adopts and returns machines. */
final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
  private static final Duration DEADLINE = Duration.ofSeconds(5);
  private static final Duration RETRY = Duration.ofSeconds(1);
  private static final Duration LIST_EVERY = Duration.ofSeconds(10);
  private static final int REMEMBERED_DELETED = 5000;
  private static final int MACHINE_BYTES = 128;
  private static final int DRAINED_OF = 24;
  private static final int MOST_TRIALS = 16;
  private static final int DOUBTED_FROM = 2;
  private static final int PROBE_OF = 10;
  private static final BlockId NO_BLOCK = new BlockId("-");

  /** The way to the cloud. */
  record Cloud(HttpCaller calls, InetSocketAddress address, RateBudget budget) {}

  /** A kind of machine in a zone, which the cloud may run out of. */
  private record Offer(MachineTypeId type, ZoneId zone, boolean spot) {}

  private final Leader leader;
  private final Leader.Surroundings around;
  private final EventLoop loop;
  private final Cloud cloud;
  private final Revision term;
  private final Map<MachineId, Machine> tracked = new HashMap<>();
  private final Map<String, Rental> rentals = new LinkedHashMap<>();
  private final Map<Offer, SteadyTime> refusedUntil = new HashMap<>();
  private final BootTimes boots;
  private final Map<MachineTypeId, Integer> doubtful = new HashMap<>();
  private final Map<MachineTypeId, SteadyTime> probedAt = new HashMap<>();
  private final Set<MachineId> deleting = new LinkedHashSet<>();
  private final Set<MachineId> deleted = new LinkedHashSet<>();
  private Optional<SteadyTime> lastResize = Optional.empty();
  private boolean deleteInFlight;
  private long names;

  Fleet(Leader leader, Leader.Surroundings around, Cloud cloud, Revision term) {
    this.leader = leader;
    this.around = around;
    this.loop = around.loop();
    this.cloud = cloud;
    this.term = term;
    this.boots =
        new BootTimes(
            around.tunables().number(Tunables.Key.BOOT_DEFAULT_S),
            around.tunables().number(Tunables.Key.BOOT_OVERDUE_FACTOR));
  }

  /** A new leader asks again under the stored names: the same name never rents twice. */
  void load(List<Item> items, LeaderJournal journal) {
    for (Item item : items) {
      String name = item.key().substring(Keys.RENTALS.length());
      journal.known(item.key(), item.version());
      rentals.put(name, Rental.read(name, item.value(), loop.now()));
    }
  }

  void start() {
    rentals.values().forEach(this::ask);
    loop.after(Duration.ofMillis(500), this::walkRegularly);
    loop.after(Duration.ofSeconds(2), this::listRegularly);
  }

  private void walkRegularly() {
    if (leader.leading()) {
      loop.after(around.tunables().seconds(Tunables.Key.WALK_S), this::walkRegularly);
      if (around.certain().getAsBoolean()) {
        inspectMachines();
        walk();
        deleteSome();
      }
    }
  }

  /** Must take no new task. */
  boolean closed(MachineId machine) {
    Machine known = tracked.get(machine);
    return known != null && known.closed();
  }

  private boolean recordedUp(MachineId machine) {
    return leader.blocks().values().stream()
        .map(block -> block.machines().get(machine))
        .anyMatch(record -> record != null && record.up());
  }

  private Machine track(MachineId machine) {
    return tracked.computeIfAbsent(machine, key -> Machine.found(loop.now(), recordedUp(key)));
  }

  /** A holder told something new of a machine. */
  void onReport(LeaderBlock block, MachineId id) {
    MachineRecord record = block.machines().get(id);
    MachineReport report = block.reportOf(id).orElse(null);
    if (record == null
        || report == null
        || record.up()
        || !report.getPhase().equals(MachinePhase.CONFIRMED.name())) {
      return;
    }
    Machine known = track(id);
    block.machines().put(id, new MachineRecord(record.type(), record.spot(), true));
    // Only a rental seen from its start tells a boot time. Machines that were up before, or
    // that an earlier leader rented, would seem to boot in no time: then there is no horizon
    // and no spacing, and every booting machine seems overdue.
    boots.cameUp(record.type(), known.rentedAt(), known.cameUp(loop.now()));
    LOG.info("{} is up after {} s", id, Math.round(known.heldSeconds(loop.now())));
    store(block);
  }

  private void store(LeaderBlock block) {
    leader.journal().submit(Keys.block(block.id()), new BlockUnit(block));
  }

  /** Gives up machines that do not come up, are silent beyond their lease, or fail everything. */
  private void inspectMachines() {
    doubtful.clear();
    for (LeaderBlock block : leader.blocks().values()) {
      for (Map.Entry<MachineId, MachineRecord> entry : block.machines().entrySet()) {
        MachineId id = entry.getKey();
        Machine known = track(id);
        Optional<MachineType> type = around.catalog().type(entry.getValue().type());
        Optional<MachineReport> report = block.reportOf(id);
        Optional<BootTimes.Outlook> outlook =
            type.filter(t -> !entry.getValue().up()).map(t -> outlook(t, known));
        boolean overdue = outlook.equals(Optional.of(BootTimes.Outlook.HOPELESS));
        if (outlook.equals(Optional.of(BootTimes.Outlook.DOUBTFUL))) {
          doubtful.merge(entry.getValue().type(), 1, Integer::sum);
        }
        if (leader.occupancy().busy(id, block.id())) {
          known.busy(loop.now());
        }
        boolean silent =
            entry.getValue().up()
                && report.isPresent()
                && report.get().getSilence().equals(HeldMachine.Silence.GONE.name());
        if (overdue || silent || leader.blame().faulty(id)) {
          giveUp(id, overdue ? "does not come up" : silent ? "is silent" : "fails its tasks");
        }
      }
    }
  }

  private BootTimes.Outlook outlook(MachineType type, Machine machine) {
    return boots.outlook(type, machine.rentedAt(), loop.now());
  }

  private void giveUp(MachineId machine, String why) {
    if (track(machine).giveBack()) {
      deleting.add(machine);
      LOG.info("{} {}: returning it", machine, why);
      touchBlockOf(machine);
    }
  }

  /** The block's holder hears which machines take no new task. */
  private void touchBlockOf(MachineId machine) {
    leader.blocks().values().stream()
        .filter(block -> block.machines().containsKey(machine))
        .forEach(block -> leader.touch(block.id()));
  }

  private void deleteSome() {
    if (deleting.isEmpty() || deleteInFlight || !cloud.budget().take(1, 0)) {
      return;
    }
    List<MachineId> batch = deleting.stream().limit(CloudCodec.MOST_DELETED).toList();
    deleteInFlight = true;
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
    while (deleted.size() > REMEMBERED_DELETED) {
      deleted.remove(deleted.iterator().next());
    }
    machines.forEach(tracked::remove);
    leader.blame().gone(machines);
    for (LeaderBlock block : leader.blocks().values()) {
      if (block.machines().keySet().removeAll(machines)) {
        store(block);
      }
    }
  }

  /** What a walk found: the shortage, the machines that it used, and the fleet's processors. */
  private record Plan(Walk.Result result, double fleetCpus) {}

  private Plan plan(List<Walk.Waiting> waiting, double horizon) {
    List<Room> rooms = new ArrayList<>();
    List<Walk.Release> releases = new ArrayList<>();
    Map<MachineId, Room> byMachine = new HashMap<>();
    collectMachines(rooms, releases, byMachine, horizon);
    collectRentals(rooms, releases, horizon);
    double cpus = rooms.stream().mapToDouble(room -> room.size().cpus()).sum();
    collectRunning(byMachine, releases, horizon);
    int steps = around.tunables().count(Tunables.Key.WALK_STEPS);
    return new Plan(Walk.run(rooms, releases, waiting, horizon, steps), cpus);
  }

  private void walk() {
    double horizon = horizon();
    List<Walk.Waiting> waiting = waiting();
    int demand = waiting.stream().mapToInt(Walk.Waiting::count).sum();
    Plan plan = plan(waiting, horizon);
    Set<MachineTypeId> scarce = scarceTypes(plan.result().shortage());
    if (!scarce.isEmpty()) {
      // Exception to the paper: what only fits a type that is not to be had gets that type's room,
      // and other tasks are rented for elsewhere.
      plan = plan(awayFrom(scarce), horizon);
    }
    List<Walk.Waiting> shortage = plan.result().shortage();
    LOG.debug(
        "walk: {} processors, {} waiting, {} short, scarce {}",
        plan.fleetCpus(),
        demand,
        shortage.stream().mapToInt(Walk.Waiting::count).sum(),
        scarce);
    if (!shortage.isEmpty() && resizeAllowed(plan, horizon)) {
      rentFor(shortage);
    }
    doubtful.keySet().forEach(this::probe);
    Set<MachineTypeId> wanted = typesFor(waiting);
    reopen(wanted);
    consolidate(wanted);
    drain(plan.result().used());
  }

  /**
   * Resizes are a boot time apart. Exception to the paper: a shortage that is large beside the
   * fleet cannot be an error of the walk, and at a start or in a burst each boot time counts.
   */
  private boolean resizeAllowed(Plan plan, double horizon) {
    double missing =
        plan.result().shortage().stream()
            .mapToDouble(group -> group.count() * group.need().perTask().cpus())
            .sum();
    boolean large =
        missing > around.tunables().number(Tunables.Key.RESIZE_AT_ONCE) * plan.fleetCpus();
    return large || lastResize.isEmpty() || loop.now().secondsSince(lastResize.get()) >= horizon;
  }

  /** The types that tasks wait for although the cloud has no more of them. */
  private Set<MachineTypeId> scarceTypes(List<Walk.Waiting> shortage) {
    Set<MachineTypeId> scarce = new HashSet<>();
    for (Walk.Waiting group : shortage) {
      if (bestOffer(group.need(), group.count(), Map.of()).isEmpty()) {
        for (MachineType type : around.catalog().types().values()) {
          if (group.need().mayUse(type)) {
            scarce.add(type.id());
          }
        }
      }
    }
    return scarce;
  }

  private List<Walk.Waiting> awayFrom(Set<MachineTypeId> scarce) {
    List<MachineTypeId> others =
        around.catalog().types().keySet().stream().filter(id -> !scarce.contains(id)).toList();
    List<Walk.Waiting> groups = new ArrayList<>();
    for (Walk.Waiting group : waiting()) {
      PlacementNeed elsewhere = group.need().onlyOn(others);
      boolean canMove =
          !elsewhere.types().isEmpty() && bestOffer(elsewhere, group.count(), Map.of()).isPresent();
      groups.add(canMove ? group.with(elsewhere) : group);
    }
    return groups;
  }

  private double horizon() {
    double least = Double.MAX_VALUE;
    for (MachineType type : around.catalog().types().values()) {
      least = Math.min(least, boots.expected(type));
    }
    return least;
  }

  private void collectMachines(
      List<Room> rooms,
      List<Walk.Release> releases,
      Map<MachineId, Room> byMachine,
      double horizon) {
    for (LeaderBlock block : leader.blocks().values()) {
      block
          .machines()
          .forEach(
              (id, record) -> {
                Optional<MachineType> type = around.catalog().type(record.type());
                if (type.isEmpty() || closed(id)) {
                  return;
                }
                boolean leaving = block.reportOf(id).filter(MachineReport::getRecalled).isPresent();
                if (leaving) {
                  return;
                }
                Resources size = type.get().size();
                Machine known = track(id);
                BootTimes.Outlook outlook = outlook(type.get(), known);
                if (!record.up()
                    && (outlook == BootTimes.Outlook.LATE
                        || outlook == BootTimes.Outlook.HOPELESS)) {
                  // Overdue: it may never come, so it is no room.
                  return;
                }
                double bootLeft = boots.expected(type.get()) - known.heldSeconds(loop.now());
                Room room =
                    Room.on(
                        block,
                        id,
                        record,
                        type.get(),
                        record.up() ? size : Resources.ZERO,
                        Set.of());
                rooms.add(room);
                byMachine.put(id, room);
                if (!record.up()) {
                  // Within the horizon even if its type boots slower than that: a machine on its
                  // way that is no room is rented for again with every resize.
                  double at = Math.min(horizon, Math.max(0, bootLeft));
                  releases.add(new Walk.Release(at, room, size));
                }
              });
    }
  }

  private void collectRentals(List<Room> rooms, List<Walk.Release> releases, double horizon) {
    for (Rental rental : rentals.values()) {
      MachineType type = around.catalog().type(rental.type()).orElse(null);
      boolean unanswered = loop.now().secondsSince(rental.plannedAt()) > DEADLINE.toSeconds() * 2;
      if (type == null || unanswered || rental.state() == Rental.State.ANSWERED) {
        continue;
      }
      for (int i = 0; i < rental.count(); i++) {
        Room room =
            new Room(
                new MachineId(rental.name() + "#" + i),
                NO_BLOCK,
                rental.zone(),
                rental.type(),
                rental.spot(),
                type.dearness(rental.spot()),
                type.size(),
                Resources.ZERO,
                Set.of());
        rooms.add(room);
        releases.add(new Walk.Release(horizon, room, type.size()));
      }
    }
  }

  private void collectRunning(
      Map<MachineId, Room> byMachine, List<Walk.Release> releases, double horizon) {
    for (Job job : leader.jobs().values()) {
      double expected = around.runTimes().expectedSeconds(job);
      PlacementNeed need = PlacementNeed.of(job.spec());
      int unplaced = 0;
      for (Delegation delegation : job.delegations()) {
        if (delegation.state() == Delegation.State.ENDED) {
          continue;
        }
        if (delegation.machine().isEmpty()) {
          unplaced++;
          continue;
        }
        Room room = byMachine.get(delegation.machine().get());
        if (room != null) {
          room.take(need);
          double ran =
              delegation.runningSince().map(since -> loop.now().secondsSince(since)).orElse(0.0);
          // A task past its expected end frees nothing that can be counted on.
          double left = ran > expected ? expected * 0.5 : expected - ran;
          if (left <= horizon) {
            releases.add(new Walk.Release(left, room, need.perTask()));
          }
        }
      }
      Placer.fill(
          need,
          unplaced,
          byMachine.values(),
          (room, count) -> {
            if (expected <= horizon) {
              releases.add(new Walk.Release(expected, room, need.perTask().times(count)));
            }
          });
    }
  }

  /** Waiting tasks in order, without those that their team's limit holds back. */
  private List<Walk.Waiting> waiting() {
    Map<TeamId, Resources> use = Quota.use(leader.jobs().values());
    List<Walk.Waiting> groups = new ArrayList<>();
    for (Job job : leader.ranking().order()) {
      if (job.state() != Job.State.ACTIVE || job.waitingCount() == 0) {
        continue;
      }
      Resources used = use.getOrDefault(job.spec().team(), Resources.ZERO);
      int count = Math.min(job.waitingCount(), leader.quota().withinLimit(job, used));
      // A job submitted with a mistake is no demand beyond its next try.
      count = Math.min(count, leader.blame().tries(job, loop.now()));
      if (count > 0) {
        use.put(job.spec().team(), used.plus(job.spec().perTask().times(count)));
        groups.add(
            new Walk.Waiting(
                PlacementNeed.of(job.spec()), around.runTimes().expectedSeconds(job), count));
      }
    }
    return groups;
  }

  private void rentFor(List<Walk.Waiting> shortage) {
    Map<Offer, Integer> wanted = new LinkedHashMap<>();
    List<Room> fresh = new ArrayList<>();
    for (Walk.Waiting group : shortage) {
      int left = group.count() - Placer.fill(group.need(), group.count(), fresh);
      while (left > 0) {
        Optional<Offer> offer = bestOffer(group.need(), left, wanted);
        if (offer.isEmpty()) {
          break;
        }
        wanted.merge(offer.get(), 1, Integer::sum);
        Room room = freshRoom(offer.get(), fresh);
        left -= Placer.fill(group.need(), left, List.of(room));
      }
    }
    wanted.keySet().removeIf(offer -> doubted(offer.type()));
    wanted.forEach(this::rentInParts);
    if (!wanted.isEmpty()) {
      lastResize = Optional.of(loop.now());
    }
  }

  private boolean doubted(MachineTypeId type) {
    return doubtful.getOrDefault(type, 0) >= DOUBTED_FROM;
  }

  /**
   * While no machine of a type comes up any more, those on their way count as room, and only a few
   * are rented, a boot time apart, to see whether that is over: more would be paid for in vain.
   */
  private void probe(MachineTypeId type) {
    SteadyTime last = probedAt.get(type);
    if (!doubted(type) || (last != null && loop.now().secondsSince(last) < horizon())) {
      return;
    }
    for (Walk.Waiting group : waiting()) {
      PlacementNeed need = group.need().onlyOn(List.of(type));
      Optional<Offer> offer =
          need.types().isEmpty() ? Optional.empty() : bestOffer(need, 1, Map.of());
      if (offer.isPresent()) {
        probedAt.put(type, loop.now());
        rent(offer.get(), 1 + doubtful.get(type) / PROBE_OF);
        return;
      }
    }
  }

  private void rentInParts(Offer offer, int count) {
    for (int left = count; left > 0; left -= CloudCodec.MOST_RENTED) {
      rent(offer, Math.min(left, CloudCodec.MOST_RENTED));
    }
  }

  private Room freshRoom(Offer offer, List<Room> fresh) {
    Resources size = around.catalog().type(offer.type()).get().size();
    Room room =
        new Room(
            new MachineId("new-" + fresh.size()),
            NO_BLOCK,
            offer.zone(),
            offer.type(),
            offer.spot(),
            0,
            size,
            size,
            Set.of());
    fresh.add(room);
    return room;
  }

  /** The cheapest way to run the tasks that would use a new machine, among what is to be had. */
  private Optional<Offer> bestOffer(PlacementNeed need, int count, Map<Offer, Integer> wanted) {
    Offer best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : around.catalog().types().values()) {
      int fit = Math.min(count, need.perTask().countIn(type.size()));
      if (fit == 0) {
        continue;
      }
      for (ZoneId zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          Offer offer = new Offer(type.id(), zone, spot);
          if (!need.allows(type.id(), spot) || !need.allowsZone(zone) || !available(offer)) {
            continue;
          }
          // Large machines are kept for the tasks that need them unless they cost far less.
          double oversize = 2 - need.perTask().shareOf(type.size());
          double cost = type.price(spot) / fit * oversize * (1 + 0.001 * machinesIn(zone, wanted));
          if (cost < bestCost) {
            best = offer;
            bestCost = cost;
          }
        }
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean available(Offer offer) {
    SteadyTime until = refusedUntil.get(offer);
    return until == null || !until.isAfter(loop.now());
  }

  private int machinesIn(ZoneId zone, Map<Offer, Integer> wanted) {
    int count = 0;
    for (LeaderBlock block : leader.blocks().values()) {
      count += block.zone().equals(zone) ? block.machines().size() : 0;
    }
    for (Map.Entry<Offer, Integer> entry : wanted.entrySet()) {
      count += entry.getKey().zone().equals(zone) ? entry.getValue() : 0;
    }
    return count;
  }

  private void rent(Offer offer, int count) {
    String name = "r-" + term + "-" + ++names;
    Rental rental =
        new Rental(
            name,
            offer.type(),
            offer.zone(),
            offer.spot(),
            count,
            loop.now(),
            Rental.State.PLANNED);
    rentals.put(name, rental);
    leader.journal().submit(Keys.rental(name), new RentalUnit(rental));
  }

  private void ask(Rental rental) {
    if (!leader.leading() || rental.state() != Rental.State.ASKED) {
      return;
    }
    if (!around.certain().getAsBoolean() || !cloud.budget().take(1, 0)) {
      loop.after(RETRY, () -> ask(rental));
      return;
    }
    cloud
        .calls()
        .call(
            cloud.address(),
            HttpRequest.post(
                CloudCodec.RENTALS,
                CloudCodec.rent(
                    rental.name(), rental.type(), rental.zone(), rental.spot(), rental.count()),
                DEADLINE),
            reply -> answered(rental, reply));
  }

  private void answered(Rental rental, HttpReply reply) {
    if (!leader.leading()) {
      return;
    }
    if (reply.ok()) {
      try {
        rented(rental, CloudCodec.parseRented(reply.body()));
        return;
      } catch (BadMessage e) {
        LOG.warn("answer to rental {}: {}", rental.name(), e.getMessage());
      }
    }
    if (reply.status() == 400 || (reply.status() == 503 && reply.body().contains("no capacity"))) {
      LOG.info("rental {} of {} in {} refused", rental.name(), rental.type(), rental.zone());
      refused(rental);
      end(rental);
      return;
    }
    // No clear answer: the cloud may have rented. The same name asks again.
    loop.after(RETRY, () -> ask(rental));
  }

  private void refused(Rental rental) {
    refusedUntil.put(
        new Offer(rental.type(), rental.zone(), rental.spot()),
        loop.now().plus(around.tunables().seconds(Tunables.Key.REFUSED_PAUSE_S)));
    // What was not given is no room: the next walk may look elsewhere at once.
    lastResize = Optional.empty();
  }

  private void rented(Rental rental, List<MachineId> machines) {
    LOG.info(
        "rental {}: {} of {} {} in {}",
        rental.name(),
        machines.size(),
        rental.count(),
        rental.type(),
        rental.zone());
    if (machines.size() < rental.count()) {
      refused(rental);
    }
    Set<LeaderBlock> touched = new LinkedHashSet<>();
    for (MachineId machine : machines) {
      if (!deleted.contains(machine) && !known(machine)) {
        LeaderBlock block = blockWithRoom(rental.zone());
        block.machines().put(machine, new MachineRecord(rental.type(), rental.spot(), false));
        tracked.put(machine, Machine.rented(rental.plannedAt()));
        touched.add(block);
      }
    }
    touched.forEach(this::store);
    end(rental);
  }

  private boolean known(MachineId machine) {
    return leader.blocks().values().stream()
        .anyMatch(block -> block.machines().containsKey(machine));
  }

  private LeaderBlock blockWithRoom(ZoneId zone) {
    // A block's record must stay below the store's limit for a value.
    int most =
        Math.min(
            around.tunables().count(Tunables.Key.BLOCK_MACHINES),
            around.settings().cluster().state().valueBytes() / MACHINE_BYTES);
    int number = 0;
    for (LeaderBlock block : leader.blocks().values()) {
      if (block.zone().equals(zone)) {
        if (block.machines().size() < most) {
          return block;
        }
        number++;
      }
    }
    BlockId id = new BlockId(zone + "-" + number);
    LeaderBlock block = new LeaderBlock(id, zone, loop.now());
    leader.blocks().put(id, block);
    return block;
  }

  /** The rental's key goes only after its machines are stored. */
  private void end(Rental rental) {
    rental.moveTo(Rental.State.ANSWERED);
    leader
        .journal()
        .submit(
            Keys.rental(rental.name()),
            new LeaderJournal.Unit() {
              @Override
              public List<Write> writes() {
                return List.of(Write.delete(Keys.rental(rental.name())));
              }

              @Override
              public void committed(Revision revision) {
                rentals.remove(rental.name());
              }
            });
  }

  /** Returns machines that are idle, paid for their least time, and of no use to the walk. */
  private void drain(Set<MachineId> used) {
    double idle = around.tunables().number(Tunables.Key.IDLE_RETURN_S);
    double held = around.tunables().number(Tunables.Key.MINIMUM_HELD_S);
    for (LeaderBlock block : leader.blocks().values()) {
      for (Map.Entry<MachineId, MachineRecord> entry : block.machines().entrySet()) {
        MachineId id = entry.getKey();
        Machine known = track(id);
        boolean unused =
            known.state() == Machine.State.DRAINING
                || (!used.contains(id) && known.idleSeconds(loop.now()) >= idle);
        if (entry.getValue().up()
            && unused
            && !doubted(entry.getValue().type())
            && known.state() != Machine.State.RETURNING
            && known.heldSeconds(loop.now()) >= held
            && !leader.occupancy().busy(id, block.id())) {
          giveUp(id, "is idle");
        }
      }
    }
  }

  /** The types that waiting tasks could use. */
  private Set<MachineTypeId> typesFor(List<Walk.Waiting> waiting) {
    Set<MachineTypeId> types = new HashSet<>();
    for (Walk.Waiting group : waiting) {
      around.catalog().types().values().stream()
          .filter(type -> group.need().mayUse(type))
          .forEach(type -> types.add(type.id()));
    }
    return types;
  }

  /** Room ran short: machines that were to go stay. */
  private void reopen(Set<MachineTypeId> wanted) {
    for (LeaderBlock block : leader.blocks().values()) {
      for (Map.Entry<MachineId, MachineRecord> entry : block.machines().entrySet()) {
        if (!wanted.contains(entry.getValue().type())) {
          continue;
        }
        MachineId id = entry.getKey();
        Machine known = track(id);
        known.spare(false, loop.now());
        if (known.state() == Machine.State.DRAINING) {
          LOG.info("{} stays", id);
          known.reopen();
          leader.touch(block.id());
        }
      }
    }
  }

  /**
   * The dearest machine whose tasks would fit into the room that the others have left takes no new
   * tasks. Tasks end where they are; nothing is moved. Types that tasks wait for are left alone;
   * tasks that only fit a large type, of which there are no more, do not keep the small ones up.
   */
  private void consolidate(Set<MachineTypeId> wanted) {
    double held = around.tunables().number(Tunables.Key.MINIMUM_HELD_S);
    double patience = around.tunables().number(Tunables.Key.SPARE_S);
    Map<MachineId, Room> rooms = new HashMap<>();
    collectMachines(new ArrayList<>(), new ArrayList<>(), rooms, 0);
    collectRunning(rooms, new ArrayList<>(), 0);
    for (Headroom.Kept kept : leader.headroom().kept(loop.now())) {
      if (Placer.fill(kept.need(), 2 * kept.count(), rooms.values()) < 2 * kept.count()) {
        return;
      }
    }
    List<Room> candidates = new ArrayList<>(rooms.values());
    candidates.removeIf(room -> wanted.contains(room.type()));
    candidates.sort(
        Comparator.comparingDouble(Room::drainWeight)
            .reversed()
            .thenComparingDouble(room -> -room.free().cpus())
            .thenComparing(Room::machine));
    // A few at a time: each trial costs as much as the fleet is large.
    int trials = MOST_TRIALS;
    int most = 1 + candidates.size() / DRAINED_OF;
    for (Room candidate : candidates) {
      Machine known = track(candidate.machine());
      boolean old = known.state() == Machine.State.UP && known.heldSeconds(loop.now()) >= held;
      boolean spare = old && most > 0 && trials-- > 0 && movesElsewhere(candidate, rooms);
      most -= spare ? 1 : 0;
      if (known.spare(spare, loop.now()) >= patience && spare) {
        LOG.info("{} is spare: it takes no new tasks", candidate.machine());
        known.drain();
        touchBlockOf(candidate.machine());
      }
    }
  }

  /** Whether the others have room for its tasks; if so, that room is taken and it is left out. */
  private boolean movesElsewhere(Room candidate, Map<MachineId, Room> rooms) {
    Map<MachineId, Room> trial = new HashMap<>();
    rooms.forEach((id, room) -> trial.put(id, room.copy()));
    trial.remove(candidate.machine());
    Map<PlacementNeed, Integer> needs = new LinkedHashMap<>();
    for (Delegation delegation : leader.occupancy().on(candidate.machine())) {
      Job job = leader.jobs().get(delegation.task().job());
      needs.merge(PlacementNeed.of(job.spec()), 1, Integer::sum);
    }
    for (Map.Entry<PlacementNeed, Integer> need : needs.entrySet()) {
      if (Placer.fill(need.getKey(), need.getValue(), trial.values()) < need.getValue()) {
        return false;
      }
    }
    rooms.clear();
    rooms.putAll(trial);
    return true;
  }

  private void listRegularly() {
    if (!leader.leading()) {
      return;
    }
    loop.after(LIST_EVERY, this::listRegularly);
    if (around.certain().getAsBoolean()) {
      list(Optional.empty());
    }
  }

  private void list(Optional<MachineId> after) {
    if (!cloud.budget().take(1, 1)) {
      return;
    }
    cloud
        .calls()
        .call(
            cloud.address(),
            HttpRequest.get(CloudCodec.listPath(after), DEADLINE),
            reply -> {
              if (!reply.ok() || !leader.leading()) {
                return;
              }
              try {
                CloudCodec.Page page = CloudCodec.parseList(reply.body());
                page.machines().forEach(this::listed);
                if (page.more() && !page.machines().isEmpty()) {
                  list(Optional.of(page.machines().get(page.machines().size() - 1).id()));
                }
              } catch (BadMessage e) {
                LOG.warn("machine list: {}", e.getMessage());
              }
            });
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

  void onStranger(StrangerReport report) {
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
    if (around.catalog().type(type).isEmpty()) {
      return;
    }
    LOG.info("adopting {}", id);
    LeaderBlock block = blockWithRoom(zone);
    block.machines().put(id, new MachineRecord(type, spot, false));
    track(id);
    store(block);
  }

  /** A block's machines. */
  private final class BlockUnit implements LeaderJournal.Unit {
    private final LeaderBlock block;

    BlockUnit(LeaderBlock block) {
      this.block = block;
    }

    @Override
    public List<Write> writes() {
      return List.of(
          Write.put(Keys.block(block.id()), BlockRecord.write(block.zone(), block.machines())));
    }

    @Override
    public void committed(Revision revision) {
      leader.touch(block.id());
      leader.cycleSoon();
    }
  }

  /** A rental's name, stored before the cloud hears it. */
  private final class RentalUnit implements LeaderJournal.Unit {
    private final Rental rental;

    RentalUnit(Rental rental) {
      this.rental = rental;
    }

    @Override
    public List<Write> writes() {
      return rental.state() == Rental.State.PLANNED
          ? List.of(Write.put(Keys.rental(rental.name()), rental.write()))
          : List.of();
    }

    @Override
    public void committed(Revision revision) {
      rental.moveTo(Rental.State.ASKED);
      ask(rental);
    }
  }
}
