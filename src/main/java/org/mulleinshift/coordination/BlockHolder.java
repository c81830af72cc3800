package org.mulleinshift.coordination;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.mulleinshift.bookkeeping.ControlView.BlockRecord;
import org.mulleinshift.bookkeeping.ControlView.MachineRecord;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.BadMessage;
import org.mulleinshift.protocol.BlockId;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.Order;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.protocol.WorkerReport;
import org.mulleinshift.protocol.peer.AssignedJob;
import org.mulleinshift.protocol.peer.AssignedTask;
import org.mulleinshift.protocol.peer.Assignment;
import org.mulleinshift.protocol.peer.BlockReport;
import org.mulleinshift.protocol.peer.MachineReport;
import org.mulleinshift.protocol.peer.TaskReport;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpCaller;
import org.mulleinshift.transport.HttpReply;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.SteadyTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A block under one grant: takes its machines' reports, places the tasks delegated to it, and tells
 * the leader what became of them. A task counts as absent from a machine only on proof.
 */
final class BlockHolder {
  private static final Logger LOG = LoggerFactory.getLogger(BlockHolder.class);
  private static final Duration ORDERS_DEADLINE = Duration.ofMillis(1200);
  private static final Duration UNPLACEABLE = Duration.ofMillis(1500);
  private static final int MOST_ORDERS = 200;

  /** What a holder needs of its node. */
  record Surroundings(
      EventLoop loop,
      HttpCaller workers,
      Catalog catalog,
      PlatformSettings.Workers timing,
      Duration blockLease,
      Predicate<JobId> cancelled,
      Runnable onNews) {}

  private final Surroundings around;
  private final EventLoop loop;
  private final BlockId id;
  private final Revision grant;
  private final BooleanSupplier entitled;
  private final SteadyTime startedAt;
  private final Map<MachineId, HeldMachine> machines = new TreeMap<>();
  private final Map<TaskId, HeldTask> tasks = new LinkedHashMap<>();
  private final Map<TaskId, SteadyTime> takenAt = new HashMap<>();
  private Set<MachineId> closed = Set.of();
  private long seenTerm;
  private long seenVersion;
  private long sequence;

  BlockHolder(Surroundings around, BlockId id, Revision grant, BooleanSupplier entitled) {
    this.around = around;
    this.loop = around.loop();
    this.id = id;
    this.grant = grant;
    this.entitled = entitled;
    this.startedAt = loop.now();
  }

  Revision grant() {
    return grant;
  }

  /** The block's machines as stored. A machine that is no longer there was deleted for certain. */
  void onRecord(BlockRecord record) {
    for (Map.Entry<MachineId, MachineRecord> entry : record.machines().entrySet()) {
      machines
          .computeIfAbsent(entry.getKey(), key -> new HeldMachine(key, entry.getValue(), grant))
          .update(entry.getValue());
    }
    List<MachineId> gone = new ArrayList<>(machines.keySet());
    gone.removeAll(record.machines().keySet());
    for (MachineId machine : gone) {
      machines.remove(machine);
      loseTasksOf(machine);
    }
    placeAndSend();
  }

  private void loseTasksOf(MachineId machine) {
    for (HeldTask task : tasks.values()) {
      if (task.boundTo(machine)) {
        finish(task, task.stopRequested() ? TaskPhase.STOPPED : TaskPhase.LOST);
      }
    }
  }

  private void finish(HeldTask task, TaskPhase phase) {
    task.moveTo(phase, null, loop.now());
    around.onNews().run();
  }

  /** The leader's full set. A set of an earlier term, grant or version is out of date. */
  void onAssignment(Assignment assignment) {
    boolean stale =
        assignment.getGrant() != grant.value()
            || assignment.getLeaderTerm() < seenTerm
            || (assignment.getLeaderTerm() == seenTerm && assignment.getVersion() < seenVersion);
    if (stale) {
      return;
    }
    seenTerm = assignment.getLeaderTerm();
    seenVersion = assignment.getVersion();
    closed = new HashSet<>();
    assignment.getClosed().forEach(machine -> closed.add(new MachineId(machine)));
    Set<TaskId> wanted = new HashSet<>();
    for (AssignedJob job : assignment.getJobs()) {
      PlacementNeed need = needOf(job);
      for (AssignedTask item : job.getTasks()) {
        TaskId task = new TaskId(new JobId(job.getJob()), item.getIndex());
        wanted.add(task);
        take(task, job, item, need);
      }
    }
    tasks.keySet().retainAll(wanted);
    takenAt.keySet().retainAll(wanted);
    adoptFromStrays();
    around.onNews().run();
    placeAndSend();
  }

  private static PlacementNeed needOf(AssignedJob job) {
    return new PlacementNeed(
        new Resources(job.getCpus(), job.getGpus(), job.getMemoryGb()),
        job.getImage(),
        job.getMachineTypes().stream().map(MachineTypeId::new).toList(),
        job.getSpotAllowed());
  }

  private void take(TaskId id, AssignedJob job, AssignedTask item, PlacementNeed need) {
    HeldTask known = tasks.get(id);
    Attempt attempt = new Attempt(item.getAttempt());
    if (known == null || !known.attempt().equals(attempt)) {
      known = new HeldTask(id, attempt, need, job.getSaveSeconds(), job.getRank(), item.getFresh());
      tasks.put(id, known);
      takenAt.put(id, loop.now());
    }
    if (item.getStop()) {
      requestStop(known);
    }
  }

  /** Tasks that machines reported before the leader's set arrived. */
  private void adoptFromStrays() {
    for (HeldMachine machine : machines.values()) {
      List<WorkerReport.Entry> left = new ArrayList<>();
      for (WorkerReport.Entry entry : machine.strays()) {
        HeldTask task = matching(entry);
        if (task == null) {
          left.add(entry);
        } else {
          observe(machine, task, entry);
        }
      }
      machine.strays(left);
    }
  }

  private HeldTask matching(WorkerReport.Entry entry) {
    HeldTask task = tasks.get(entry.task());
    return task != null && task.attempt().equals(entry.attempt()) ? task : null;
  }

  private void requestStop(HeldTask task) {
    if (!task.stopRequested()) {
      task.requestStop();
      task.machine().map(machines::get).ifPresent(machine -> machine.ordersWaiting(true));
    }
  }

  /** A job was cancelled: its tasks stop without waiting for the leader. */
  void onCancelled(JobId job) {
    for (HeldTask task : tasks.values()) {
      if (task.task().job().equals(job)) {
        requestStop(task);
      }
    }
    placeAndSend();
  }

  /** The answer to a report, or none if this node must not give one. */
  Optional<String> onReport(WorkerReport report) {
    HeldMachine machine = machines.get(report.machine());
    if (machine == null || !entitled.getAsBoolean()) {
      return Optional.empty();
    }
    if (report.highestToken().compareTo(machine.token()) > 0) {
      if (!HeldMachine.belongsTo(report.highestToken(), grant)) {
        // A 200 with a lower token would be dropped and hold the worker here without a lease.
        return Optional.empty();
      }
      machine.adoptToken(report.highestToken());
    }
    absorb(machine, report);
    machine.answered(loop.now());
    place();
    String body = WorkerCodec.response(machine.token(), ordersFor(machine));
    machine.ordersWaiting(false);
    sendDirect();
    return Optional.of(body);
  }

  private void absorb(HeldMachine machine, WorkerReport report) {
    if (!report.moment().isAfter(machine.moment())) {
      return;
    }
    boolean newSession = report.moment().session() > machine.moment().session();
    if (newSession && machine.moment().session() > 0) {
      LOG.info("{} began session {}", machine.id(), report.moment().session());
    }
    Set<TaskId> listed = new HashSet<>();
    List<WorkerReport.Entry> strays = new ArrayList<>();
    machine.heard(report, loop.now());
    for (WorkerReport.Entry entry : report.tasks()) {
      HeldTask task = matching(entry);
      if (task == null) {
        strays.add(entry);
      } else {
        listed.add(entry.task());
        observe(machine, task, entry);
      }
    }
    machine.strays(strays);
    boolean knowsToken = report.highestToken().compareTo(machine.token()) >= 0;
    moveMachine(machine, knowsToken ? MachinePhase.CONFIRMED : MachinePhase.HEARD);
    for (HeldTask task : tasks.values()) {
      if (task.boundTo(machine.id()) && !listed.contains(task.task())) {
        unlisted(machine, task, newSession, knowsToken);
      }
    }
  }

  /** A task that should be on the machine, but is not in its newest report. */
  private void unlisted(
      HeldMachine machine, HeldTask task, boolean newSession, boolean knowsToken) {
    if (task.phase() != TaskPhase.STARTING || newSession) {
      finish(task, task.stopRequested() ? TaskPhase.STOPPED : TaskPhase.LOST);
    } else if (task.stopRequested() && knowsToken && !machine.directInFlight()) {
      // Never started, and no order under an older token can start it any more.
      finish(task, TaskPhase.STOPPED);
    } else {
      machine.ordersWaiting(true);
    }
  }

  private void moveMachine(HeldMachine machine, MachinePhase next) {
    if (machine.phase() == MachinePhase.CONFIRMED && next == MachinePhase.HEARD) {
      return;
    }
    if (machine.phase() != next) {
      machine.moveTo(next);
      around.onNews().run();
    }
  }

  private void observe(HeldMachine machine, HeldTask task, WorkerReport.Entry entry) {
    if (task.bound() && !task.boundTo(machine.id())) {
      LOG.error("{} is on {} and on {}", task.task(), task.machine(), machine.id());
      return;
    }
    TaskPhase phase = phaseOf(entry);
    if (phase == TaskPhase.RUNNING) {
      machine.addImage(task.need().image());
    }
    if (task.phase() != phase) {
      task.moveTo(phase, machine.id(), loop.now());
      around.onNews().run();
    }
  }

  private static TaskPhase phaseOf(WorkerReport.Entry entry) {
    return switch (entry.state()) {
      case FETCHING, WAITING -> TaskPhase.FETCHING;
      case RUNNING -> TaskPhase.RUNNING;
      case SAVING -> TaskPhase.SAVING;
      case EXITED ->
          switch (entry.cause()) {
            case DONE -> TaskPhase.DONE;
            case STOPPED -> TaskPhase.STOPPED;
            case NO_ROOM, BUSY, GANG_BROKEN, UNKNOWN -> TaskPhase.REJECTED;
            case NONE, ERROR -> TaskPhase.FAILED;
          };
    };
  }

  /** Everything the machine still has to do, in one go: every order can be repeated. */
  private List<Order> ordersFor(HeldMachine machine) {
    List<Order> orders = new ArrayList<>();
    // Without the leader's set it is not known which tasks belong here.
    if (seenTerm > 0) {
      for (WorkerReport.Entry stray : machine.strays()) {
        if (stray.state() != WorkerReport.State.EXITED) {
          orders.add(new Order.Halt(stray.task(), stray.attempt(), Duration.ZERO));
        } else if (!machine.directInFlight()) {
          // An order that is still on its way would start a forgotten attempt again.
          orders.add(new Order.Forget(stray.task(), stray.attempt()));
        }
      }
    }
    for (HeldTask task : tasks.values()) {
      if (orders.size() >= MOST_ORDERS) {
        break;
      }
      if (!task.boundTo(machine.id())) {
        continue;
      }
      if (task.stopRequested()) {
        orders.add(new Order.Halt(task.task(), task.attempt(), graceOf(task)));
      } else if (task.phase() == TaskPhase.STARTING) {
        orders.add(new Order.Run(task.task(), task.attempt()));
      }
    }
    return orders;
  }

  private Duration graceOf(HeldTask task) {
    // Nobody has any use for the progress of a cancelled job.
    return around.cancelled().test(task.task().job())
        ? Duration.ZERO
        : Duration.ofMillis((long) (task.saveSeconds() * 1000));
  }

  /** Called a few times a second. */
  void tick() {
    SteadyTime now = loop.now();
    for (HeldMachine machine : machines.values()) {
      boolean mayHaveTasks = machine.record().up() || machine.answeredAt().isPresent();
      if (mayHaveTasks
          && machine.phase() != MachinePhase.SILENT
          && now.isAfter(workerLeaseOver(machine))) {
        LOG.info("{} is silent: its lease is over", machine.id());
        moveMachine(machine, MachinePhase.SILENT);
        machine.strays(List.of());
        loseTasksOf(machine.id());
      }
    }
    placeAndSend();
  }

  /**
   * When the worker has surely ended its session. Until it has shown that it knows our token, the
   * block's earlier holder may have answered it, for as long as a block lease lasts.
   */
  private SteadyTime workerLeaseOver(HeldMachine machine) {
    SteadyTime last = machine.answeredAt().orElse(startedAt);
    if (machine.phase() != MachinePhase.CONFIRMED) {
      SteadyTime others = startedAt.plus(around.blockLease());
      last = others.isAfter(last) ? others : last;
    }
    Duration lease = around.timing().lease();
    return last.plus(lease).plus(lease.dividedBy(500)).plusMillis(500);
  }

  private void placeAndSend() {
    place();
    sendDirect();
  }

  private void place() {
    if (!entitled.getAsBoolean()) {
      return;
    }
    List<HeldTask> waiting = new ArrayList<>();
    boolean accounted = accounted();
    for (HeldTask task : tasks.values()) {
      if (task.phase() == TaskPhase.NEW && (task.fresh() || accounted)) {
        waiting.add(task);
      }
    }
    if (waiting.isEmpty()) {
      return;
    }
    waiting.sort(Comparator.comparingInt(HeldTask::rank));
    Set<TaskId> straying = new HashSet<>();
    machines.values().forEach(m -> m.strays().forEach(entry -> straying.add(entry.task())));
    List<Room> rooms = rooms();
    SteadyTime now = loop.now();
    for (HeldTask task : waiting) {
      if (task.stopRequested() || around.cancelled().test(task.task().job())) {
        finish(task, TaskPhase.STOPPED);
      } else if (!straying.contains(task.task())) {
        Optional<Room> room = Placer.choose(task.need(), rooms);
        if (room.isPresent()) {
          room.get().take(task.need());
          task.moveTo(TaskPhase.STARTING, room.get().machine(), now);
          machines.get(room.get().machine()).ordersWaiting(true);
          around.onNews().run();
        } else if (now.isAfter(takenAt.get(task.task()).plus(UNPLACEABLE))) {
          finish(task, TaskPhase.REJECTED);
        }
      }
    }
  }

  /** A fresh holder knows where inherited tasks are not only once each machine is accounted for. */
  private boolean accounted() {
    for (HeldMachine machine : machines.values()) {
      boolean known =
          machine.phase() == MachinePhase.CONFIRMED || machine.phase() == MachinePhase.SILENT;
      if (machine.record().up() && !known) {
        return false;
      }
    }
    return true;
  }

  private List<Room> rooms() {
    List<Room> rooms = new ArrayList<>();
    SteadyTime now = loop.now();
    for (HeldMachine machine : machines.values()) {
      Optional<MachineType> type = around.catalog().type(machine.record().type());
      if (type.isEmpty() || !usable(machine, now)) {
        continue;
      }
      Resources free = type.get().size();
      Set<String> images = new HashSet<>(machine.images());
      for (HeldTask task : tasks.values()) {
        if (task.boundTo(machine.id())) {
          free = free.minus(task.need().perTask());
          images.add(task.need().image());
        }
      }
      rooms.add(
          new Room(
              machine.id(),
              type.get().id(),
              machine.record().spot(),
              type.get().dearness(machine.record().spot()),
              type.get().size(),
              free,
              images));
    }
    return rooms;
  }

  private boolean usable(HeldMachine machine, SteadyTime now) {
    return machine.phase() == MachinePhase.CONFIRMED
        && machine.record().up()
        && !closed.contains(machine.id())
        && machine.recallMillis(now) < 0
        && silence(machine, now).compareTo(around.timing().report().multipliedBy(5).dividedBy(2))
            < 0
        && machine.strays().stream().allMatch(entry -> entry.state() == WorkerReport.State.EXITED);
  }

  private Duration silence(HeldMachine machine, SteadyTime now) {
    return now.since(machine.answeredAt().orElse(startedAt));
  }

  /** Orders that need not wait for the next report. */
  private void sendDirect() {
    if (!entitled.getAsBoolean()) {
      return;
    }
    for (HeldMachine machine : machines.values()) {
      if (machine.ordersWaiting()
          && !machine.directInFlight()
          && machine.phase() == MachinePhase.CONFIRMED) {
        machine.ordersWaiting(false);
        List<Order> orders = ordersFor(machine);
        Optional<InetSocketAddress> address = addressOf(machine);
        if (!orders.isEmpty() && address.isPresent()) {
          sendDirect(machine, address.get(), orders);
        }
      }
    }
  }

  private static Optional<InetSocketAddress> addressOf(HeldMachine machine) {
    int colon = machine.address().lastIndexOf(':');
    try {
      return Optional.of(
          new InetSocketAddress(
              machine.address().substring(0, Math.max(0, colon)),
              Integer.parseInt(machine.address().substring(colon + 1))));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private void sendDirect(HeldMachine machine, InetSocketAddress address, List<Order> orders) {
    machine.directInFlight(true);
    String body = WorkerCodec.direct(machine.token(), machine.moment().session(), orders);
    around
        .workers()
        .call(
            address,
            HttpRequest.post(WorkerCodec.ORDERS, body, ORDERS_DEADLINE),
            reply -> directAnswered(machine, reply));
  }

  private void directAnswered(HeldMachine machine, HttpReply reply) {
    machine.directInFlight(false);
    if (reply.status() == 200 || reply.status() == 409) {
      try {
        WorkerReport report = WorkerCodec.parseReport(reply.body());
        if (report.machine().equals(machine.id()) && machines.get(machine.id()) == machine) {
          absorb(machine, report);
          placeAndSend();
        }
        return;
      } catch (BadMessage e) {
        LOG.warn("answer of {}: {}", machine.id(), e.getMessage());
      }
    }
    // The orders may be carried out minutes later; under a higher token they no longer can. The
    // next report's answer repeats what still holds.
    machine.raiseToken();
  }

  BlockReport report() {
    SteadyTime now = loop.now();
    List<MachineReport> machineReports = new ArrayList<>();
    for (HeldMachine machine : machines.values()) {
      machineReports.add(
          new MachineReport(
              machine.id().value(),
              machine.phase().name(),
              silence(machine, now).toMillis(),
              machine.recallMillis(now),
              new ArrayList<>(machine.images())));
    }
    List<TaskReport> taskReports = new ArrayList<>();
    for (HeldTask task : tasks.values()) {
      taskReports.add(
          new TaskReport(
              task.task().job().value(),
              task.task().index(),
              task.attempt().value(),
              task.phase().name(),
              task.machine().map(MachineId::value).orElse(""),
              task.ranMillis(now)));
    }
    return new BlockReport(
        id.value(), grant.value(), ++sequence, seenTerm, seenVersion, machineReports, taskReports);
  }
}
