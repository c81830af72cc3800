package org.mulleinshift.sharding;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.mulleinshift.model.ClusterView.MachineRecord;
import org.mulleinshift.model.ClusterView.ShardRecord;
import org.mulleinshift.placement.BinPacker;
import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.placement.ResourceRequest;
import org.mulleinshift.placement.UnschedulableRequests;
import org.mulleinshift.protocol.Attempt;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.Resources;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.TaskId;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.protocol.WorkerCommand;
import org.mulleinshift.protocol.WorkerHeartbeat;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.protocol.peer.AssignedJob;
import org.mulleinshift.protocol.peer.AssignedTask;
import org.mulleinshift.protocol.peer.RemovedTask;
import org.mulleinshift.protocol.peer.ShardAssignment;
import org.mulleinshift.protocol.peer.ShardStatusAck;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A shard under one grant: takes its machines' reports, places the tasks assigned to it, and tells
 * the leader what became of them. A task counts as absent from a machine only on proof.
 */
public final class ShardOwner {
  private static final Logger LOG = LoggerFactory.getLogger(ShardOwner.class);
  private static final Duration ORDERS_DEADLINE = Duration.ofMillis(1200);
  private static final Duration UNPLACEABLE = Duration.ofSeconds(4);

  /** A shard lies in one zone, and the leader chose it. */
  private static final ZoneId ANY_ZONE = new ZoneId("");

  private static final int MAX_ORDERS = 200;

  /** What an owner needs of its node. */
  public record Surroundings(
      EventLoop loop,
      AsyncHttpClient workers,
      MachineTypeCatalog catalog,
      PlatformSettings.Workers timing,
      Duration shardLease,
      Predicate<JobId> cancelled,
      Runnable onNews) {}

  private final Surroundings context;
  private final EventLoop loop;
  private final ShardId id;
  private final Revision grant;
  private final BooleanSupplier entitled;
  private final MonotonicTime startedAt;
  private MonotonicTime listeningSince;
  private final Map<MachineId, OwnedMachine> machines = new TreeMap<>();
  private final Map<TaskId, OwnedTask> tasks = new LinkedHashMap<>();
  private final Set<OwnedTask> unplaced = new LinkedHashSet<>();
  private final Set<JobId> leftAlone = new HashSet<>();
  private Set<MachineId> closed = Set.of();
  private final ShardStatusReporter reports;
  private long seenTerm;
  private long seenVersion;
  private Revision recordSeen = new Revision(0);

  ShardOwner(Surroundings context, ShardId id, Revision grant, BooleanSupplier entitled) {
    this.context = context;
    this.loop = context.loop();
    this.id = id;
    this.grant = grant;
    this.entitled = entitled;
    this.startedAt = loop.now();
    this.listeningSince = startedAt;
    this.reports = new ShardStatusReporter(loop, id, grant, machines, tasks, context.onNews());
  }

  Revision grant() {
    return grant;
  }

  /** Whether this node may still act for the shard. */
  boolean entitled() {
    return entitled.getAsBoolean();
  }

  /** The shard's machines as stored. A machine that is no longer there was deleted for certain. */
  void onRecord(ShardRecord record) {
    if (record.version().equals(recordSeen)) {
      return;
    }
    recordSeen = record.version();
    for (Map.Entry<MachineId, MachineRecord> entry : record.machines().entrySet()) {
      machines
          .computeIfAbsent(
              entry.getKey(), key -> new OwnedMachine(key, entry.getValue(), grant, loop.now()))
          .update(entry.getValue());
      news(entry.getKey());
    }
    List<MachineId> gone = new ArrayList<>(machines.keySet());
    gone.removeAll(record.machines().keySet());
    for (MachineId machine : gone) {
      loseTasksOf(machines.remove(machine));
    }
    placeAndSend();
  }

  private void loseTasksOf(OwnedMachine machine) {
    for (OwnedTask task : machine.tasks()) {
      finish(task, task.stopRequested() ? TaskPhase.STOPPED : TaskPhase.LOST);
    }
  }

  private void finish(OwnedTask task, TaskPhase phase) {
    move(task, phase, null);
  }

  /** All changes of a task's phase pass here, so that what is indexed by it stays in step. */
  private void move(OwnedTask task, TaskPhase next, MachineId where) {
    OwnedMachine before = task.place().map(machines::get).orElse(null);
    task.transitionTo(next, where, loop.now());
    OwnedMachine after = task.place().map(machines::get).orElse(null);
    if (before != null && before != after) {
      before.release(task);
    }
    if (after != null) {
      after.bind(task);
    }
    if (task.phase() != TaskPhase.NEW) {
      unplaced.remove(task);
    }
    reports.changed(task.task());
    context.onNews().run();
  }

  private void drop(OwnedTask task) {
    task.place().map(machines::get).ifPresent(machine -> machine.release(task));
    unplaced.remove(task);
  }

  private void news(MachineId machine) {
    reports.changed(machine);
    context.onNews().run();
  }

  /**
   * What the leader changed in its set. A message of an earlier term or grant is out of date; one
   * that builds on a version that never came is left out, the leader sends from the known one
   * again.
   */
  void onAssignment(ShardAssignment assignment) {
    long term = assignment.getLeaderTerm();
    long known = term == seenTerm ? seenVersion : 0;
    boolean unfit =
        assignment.getGrant() != grant.value()
            || term < seenTerm
            || assignment.getBase() > known
            || assignment.getVersion() <= known;
    if (unfit) {
      return;
    }
    if (term != seenTerm) {
      // A new leader knows nothing of this shard yet.
      reports.unknownToLeader();
    }
    seenTerm = term;
    seenVersion = assignment.getVersion();
    reports.sawAssignment(seenTerm, seenVersion);
    closed = new HashSet<>();
    assignment.getCordoned().forEach(machine -> closed.add(new MachineId(machine)));
    Set<TaskId> named = new HashSet<>();
    leftAlone.clear();
    for (AssignedJob job : assignment.getJobs()) {
      ResourceRequest need = ResourceRequest.of(job);
      JobId id = new JobId(job.getJob());
      if (job.getTasks().isEmpty()) {
        leftAlone.add(id);
      }
      for (AssignedTask item : job.getTasks()) {
        TaskId task = new TaskId(id, item.getIndex());
        named.add(task);
        take(task, job, item, need);
      }
    }
    for (RemovedTask removed : assignment.getRemoved()) {
      Optional.ofNullable(tasks.remove(new TaskId(new JobId(removed.getJob()), removed.getIndex())))
          .ifPresent(this::drop);
    }
    if (assignment.getBase() == 0) {
      List<TaskId> unnamed = new ArrayList<>(tasks.keySet());
      unnamed.removeIf(named::contains);
      unnamed.forEach(task -> drop(tasks.remove(task)));
    }
    adoptFromStrays();
    context.onNews().run();
    placeAndSend();
  }

  /** Up to where the leader knows this shard. */
  void onReportsSeen(ShardStatusAck seen) {
    if (seen.getGrant() == grant.value() && seen.getLeaderTerm() >= seenTerm) {
      reports.seen(seen.getSequence());
    }
  }

  private void take(TaskId id, AssignedJob job, AssignedTask item, ResourceRequest need) {
    OwnedTask known = tasks.get(id);
    Attempt attempt = new Attempt(item.getAttempt());
    if (known == null || !known.attempt().equals(attempt)) {
      if (known != null) {
        drop(known);
      }
      known =
          new OwnedTask(
              id, attempt, need, job.getSaveSeconds(), job.getRank(), item.getFresh(), loop.now());
      tasks.put(id, known);
      unplaced.add(known);
      reports.changed(id);
    }
    // The leader may not know yet what this node does.
    if (item.getStop() || context.cancelled().test(id.job())) {
      requestStop(known);
    }
  }

  /** Tasks that machines reported before the leader's set arrived. */
  private void adoptFromStrays() {
    for (OwnedMachine machine : machines.values()) {
      List<WorkerHeartbeat.Entry> left = new ArrayList<>();
      for (WorkerHeartbeat.Entry entry : machine.unassignedTasks()) {
        OwnedTask task = matching(entry);
        if (task == null) {
          left.add(entry);
        } else {
          observe(machine, task, entry);
        }
      }
      machine.unassignedTasks(left);
      tellIfOccupied(machine);
    }
  }

  private void tellIfOccupied(OwnedMachine machine) {
    if (machine.occupiedBy(leftAlone)) {
      news(machine.id());
    }
  }

  private OwnedTask matching(WorkerHeartbeat.Entry entry) {
    OwnedTask task = tasks.get(entry.task());
    return task != null && task.attempt().equals(entry.attempt()) ? task : null;
  }

  private void requestStop(OwnedTask task) {
    if (task.stopRequested()) {
      return;
    }
    task.requestStop();
    OwnedMachine machine = task.machine().map(machines::get).orElse(null);
    if (machine == null) {
      return;
    }
    if (task.phase() == TaskPhase.STARTING) {
      // The order to start it may be on its way in an answer to a report, and the order to stop it
      // may come first: under a higher token the worker drops the other.
      machine.raiseToken(loop.now());
    }
    machine.ordersWaiting(true);
  }

  /** A job was cancelled: its tasks stop without waiting for the leader. */
  void onCancelled(JobId job) {
    for (OwnedTask task : tasks.values()) {
      if (task.task().job().equals(job)) {
        requestStop(task);
      }
    }
    placeAndSend();
  }

  /** The answer to a report, or none if this node must not give one. */
  Optional<String> onReport(WorkerHeartbeat report) {
    OwnedMachine machine = machines.get(report.machine());
    if (machine == null) {
      return Optional.empty();
    }
    if (machine.surelyCopy(report, loop.now())) {
      return Optional.empty();
    }
    // A report that may not be answered still shows that its worker is there and reaches this node.
    machine.reached(loop.now());
    if (!entitled.getAsBoolean()) {
      return Optional.empty();
    }
    if (report.highestToken().compareTo(machine.token()) > 0) {
      if (!OwnedMachine.belongsTo(report.highestToken(), grant)) {
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

  private void absorb(OwnedMachine machine, WorkerHeartbeat report) {
    if (!report.moment().isAfter(machine.moment())) {
      return;
    }
    if (machine.repeats(report)) {
      machine.heard(report, loop.now());
      return;
    }
    boolean newSession = report.moment().session() > machine.moment().session();
    if (newSession && machine.moment().session() > 0) {
      LOG.info("{} began session {}", machine.id(), report.moment().session());
      // It was answered and ended its session all the same: the answers may not reach it.
      machine.raiseToken(loop.now());
    }
    Set<TaskId> listed = new HashSet<>();
    List<WorkerHeartbeat.Entry> unassignedTasks = new ArrayList<>();
    boolean interrupted = machine.interrupted();
    machine.heard(report, loop.now());
    if (interrupted != machine.interrupted()) {
      news(machine.id());
    }
    for (WorkerHeartbeat.Entry entry : report.tasks()) {
      OwnedTask task = matching(entry);
      if (task == null) {
        unassignedTasks.add(entry);
      } else {
        listed.add(entry.task());
        observe(machine, task, entry);
      }
    }
    machine.unassignedTasks(unassignedTasks);
    tellIfOccupied(machine);
    boolean knowsToken = report.highestToken().compareTo(machine.token()) >= 0;
    moveMachine(machine, knowsToken ? MachinePhase.CONFIRMED : MachinePhase.HEARD);
    for (OwnedTask task : machine.tasks()) {
      if (!listed.contains(task.task())) {
        unlisted(machine, task, newSession, knowsToken);
      }
    }
    machine.absorbed(report);
  }

  /** A task that should be on the machine, but is not in its newest report. */
  private void unlisted(
      OwnedMachine machine, OwnedTask task, boolean newSession, boolean knowsToken) {
    if (task.phase() != TaskPhase.STARTING || newSession) {
      finish(task, task.stopRequested() ? TaskPhase.STOPPED : TaskPhase.LOST);
    } else if (task.stopRequested() && knowsToken && !machine.directInFlight()) {
      // Never started, and no order under an older token can start it any more.
      finish(task, TaskPhase.STOPPED);
    } else {
      machine.ordersWaiting(true);
    }
  }

  private void moveMachine(OwnedMachine machine, MachinePhase next) {
    if (machine.phase() == MachinePhase.CONFIRMED && next == MachinePhase.HEARD) {
      return;
    }
    if (machine.phase() != next) {
      machine.transitionTo(next);
      news(machine.id());
    }
  }

  private void observe(OwnedMachine machine, OwnedTask task, WorkerHeartbeat.Entry entry) {
    if (task.bound() && !task.boundTo(machine.id())) {
      LOG.error("{} is on {} and on {}", task.task(), task.machine(), machine.id());
      return;
    }
    TaskPhase phase = TaskPhase.of(entry);
    if (phase == TaskPhase.RUNNING) {
      double cache =
          context.catalog().type(machine.record().type()).map(MachineType::cacheGb).orElse(0.0);
      if (machine.addImage(task.need().image(), task.need().imageGb(), cache)) {
        news(machine.id());
      }
    }
    if (task.phase() != phase) {
      move(task, phase, machine.id());
    }
  }

  /**
   * Everything the machine still has to do, in one go: every order can be repeated. What must stop
   * comes first: an answer that reaches the worker then never keeps it alive without telling it so.
   */
  private List<WorkerCommand> ordersFor(OwnedMachine machine) {
    List<WorkerCommand> halts = new ArrayList<>();
    List<WorkerCommand> others = new ArrayList<>();
    for (WorkerHeartbeat.Entry unassignedTask : machine.unassignedTasks()) {
      boolean exited = unassignedTask.state() == WorkerHeartbeat.State.EXITED;
      if (!exited && mustStop(unassignedTask.task().job())) {
        halts.add(
            new WorkerCommand.Halt(unassignedTask.task(), unassignedTask.attempt(), Duration.ZERO));
      } else if (exited && mayJudge(unassignedTask.task().job()) && !machine.directInFlight()) {
        // An order that is still on its way would start a forgotten attempt again.
        others.add(new WorkerCommand.Forget(unassignedTask.task(), unassignedTask.attempt()));
      }
    }
    for (OwnedTask task : machine.tasks()) {
      if (task.stopRequested()) {
        halts.add(new WorkerCommand.Halt(task.task(), task.attempt(), graceOf(task)));
      } else if (task.phase() == TaskPhase.STARTING) {
        others.add(new WorkerCommand.Run(task.task(), task.attempt()));
      }
    }
    halts.addAll(others);
    // The rest comes with the next report; a machine may know thousands of ended tasks.
    return halts.subList(0, Math.min(MAX_ORDERS, halts.size()));
  }

  /**
   * Without the leader's set it is not known which tasks belong here; of jobs that the leader can't
   * read it never is.
   */
  private boolean mayJudge(JobId job) {
    return seenTerm > 0 && !leftAlone.contains(job);
  }

  /** Of a task that nobody assigned here. A cancelled job's are to stop, whoever leads. */
  private boolean mustStop(JobId job) {
    return mayJudge(job) || context.cancelled().test(job);
  }

  private Duration graceOf(OwnedTask task) {
    // Nobody has any use for the progress of a cancelled job.
    return context.cancelled().test(task.task().job())
        ? Duration.ZERO
        : Duration.ofMillis((long) (task.saveSeconds() * 1000));
  }

  /** Called a few times a second. */
  void tick() {
    if (!entitled()) {
      // Who may not answer hears nothing that counts: the machines may have gone to others.
      return;
    }
    MonotonicTime now = loop.now();
    for (OwnedMachine machine : machines.values()) {
      if (justAnswered(machine, now)) {
        continue;
      }
      boolean mayHaveTasks = machine.record().up() || machine.answeredAt().isPresent();
      if (mayHaveTasks
          && machine.phase() != MachinePhase.SILENT
          && now.isAfter(workerLeaseOver(machine))) {
        LOG.info("{} is silent: its lease is over", machine.id());
        moveMachine(machine, MachinePhase.SILENT);
        machine.unassignedTasks(List.of());
        tellIfOccupied(machine);
        loseTasksOf(machine);
      }
      if (machine.silence(silenceOf(machine, now))) {
        news(machine.id());
      }
    }
    placeAndSend();
  }

  /** Most machines, most of the time: neither silent nor near the end of any lease. */
  private boolean justAnswered(OwnedMachine machine, MonotonicTime now) {
    return machine.silence() == OwnedMachine.Silence.HEARD
        && machine.phase() == MachinePhase.CONFIRMED
        && machine.answeredAt().isPresent()
        && now.since(machine.answeredAt().get()).compareTo(context.timing().report()) < 0;
  }

  /**
   * When the worker has surely ended its session. Until it has shown that it knows our token, the
   * shard's earlier owner may have answered it, for as long as a shard lease lasts.
   */
  private MonotonicTime workerLeaseOver(OwnedMachine machine) {
    MonotonicTime last = machine.answeredAt().orElse(startedAt);
    if (machine.phase() != MachinePhase.CONFIRMED) {
      MonotonicTime others = startedAt.plus(context.shardLease());
      last = others.isAfter(last) ? others : last;
    }
    Duration lease = context.timing().lease();
    return last.plus(lease).plus(lease.dividedBy(500)).plusMillis(500);
  }

  /** Whoever reported while this process stood still was not heard: that was not their silence. */
  void stoodStill() {
    listeningSince = loop.now();
  }

  /** Machines that should be heard by now: none that may still be looking for this node. */
  private Stream<OwnedMachine> expected() {
    Duration since = loop.now().since(startedAt);
    boolean settled =
        since.compareTo(context.timing().lease()) > 0 && since.compareTo(context.shardLease()) > 0;
    return machines.values().stream()
        .filter(m -> m.record().up() && (settled || m.reachedAt().isPresent()));
  }

  int knownMachines() {
    return (int) expected().count();
  }

  int silentMachines() {
    return (int) expected().filter(m -> m.silence() != OwnedMachine.Silence.HEARD).count();
  }

  private void placeAndSend() {
    place();
    sendDirect();
  }

  private void place() {
    if (unplaced.isEmpty() || !entitled.getAsBoolean()) {
      return;
    }
    List<OwnedTask> waiting = new ArrayList<>();
    boolean accounted = accounted();
    for (OwnedTask task : unplaced) {
      if (task.fresh() || accounted) {
        waiting.add(task);
      }
    }
    waiting.sort(Comparator.comparingInt(OwnedTask::rank));
    Set<TaskId> straying = new HashSet<>();
    machines
        .values()
        .forEach(m -> m.unassignedTasks().forEach(entry -> straying.add(entry.task())));
    Resources least = UnschedulableRequests.minOf(waiting, OwnedTask::need);
    List<MachineCapacity> capacities = capacities(least);
    UnschedulableRequests unplaceable = new UnschedulableRequests();
    MonotonicTime now = loop.now();
    for (OwnedTask task : waiting) {
      if (task.stopRequested() || context.cancelled().test(task.task().job())) {
        finish(task, TaskPhase.STOPPED);
      } else if (!straying.contains(task.task())) {
        Optional<MachineCapacity> capacity =
            unplaceable.covers(task.need())
                ? Optional.empty()
                : BinPacker.choose(task.need(), capacities);
        if (capacity.isPresent()) {
          capacity.get().take(task.need());
          move(task, TaskPhase.STARTING, capacity.get().machine());
          machines.get(capacity.get().machine()).ordersWaiting(true);
        } else {
          unplaceable.add(task.need());
          if (now.isAfter(task.takenAt().plus(UNPLACEABLE))) {
            finish(task, TaskPhase.REJECTED);
          }
        }
      }
    }
  }

  /** A fresh owner knows where inherited tasks are not only once each machine is accounted for. */
  private boolean accounted() {
    for (OwnedMachine machine : machines.values()) {
      boolean known =
          machine.phase() == MachinePhase.CONFIRMED || machine.phase() == MachinePhase.SILENT;
      if (machine.record().up() && !known) {
        return false;
      }
    }
    return true;
  }

  /** Where the tasks may go: machines that have at least so much left. */
  private List<MachineCapacity> capacities(Resources least) {
    List<MachineCapacity> capacities = new ArrayList<>();
    MonotonicTime now = loop.now();
    for (OwnedMachine machine : machines.values()) {
      Optional<MachineType> type = context.catalog().type(machine.record().type());
      if (type.isEmpty()) {
        continue;
      }
      Resources free = type.get().size().minus(machine.used());
      if (!least.fitsInto(free) || !usable(machine, now)) {
        continue;
      }
      Set<String> images = new HashSet<>(machine.images());
      machine.tasks().forEach(task -> images.add(task.need().image()));
      capacities.add(
          new MachineCapacity(
              machine.id(), id, ANY_ZONE, type.get(), machine.record().spot(), free, images));
    }
    return capacities;
  }

  private boolean usable(OwnedMachine machine, MonotonicTime now) {
    return machine.phase() == MachinePhase.CONFIRMED
        && machine.record().up()
        && !closed.contains(machine.id())
        && !machine.interrupted()
        && silenceOf(machine, now) == OwnedMachine.Silence.HEARD
        && machine.unassignedTasks().stream()
            .allMatch(entry -> entry.state() == WorkerHeartbeat.State.EXITED);
  }

  private OwnedMachine.Silence silenceOf(OwnedMachine machine, MonotonicTime now) {
    MonotonicTime last = machine.reachedAt().orElse(startedAt);
    Duration silent = now.since(listeningSince.isAfter(last) ? listeningSince : last);
    Duration quiet = context.timing().report().multipliedBy(5).dividedBy(2);
    Duration gone = context.timing().lease().plusSeconds(1);
    if (machine.reachedAt().isEmpty()) {
      // The shard's earlier owner may answer it for a shard lease; then it must find this node.
      // No longer than that: a dark zone's machines are replaced while it is dark.
      Duration answered = context.shardLease().plus(quiet);
      gone = answered.compareTo(gone) > 0 ? answered : gone;
    }
    Duration deaf = machine.deafSince().map(now::since).orElse(Duration.ZERO);
    if (silent.compareTo(gone) > 0
        || deaf.compareTo(context.timing().lease().multipliedBy(2)) > 0) {
      return OwnedMachine.Silence.GONE;
    }
    boolean quietOrDeaf = silent.compareTo(quiet) >= 0 || machine.deafSince().isPresent();
    return quietOrDeaf ? OwnedMachine.Silence.QUIET : OwnedMachine.Silence.HEARD;
  }

  /** Orders that need not wait for the next report. */
  private void sendDirect() {
    if (!entitled.getAsBoolean()) {
      return;
    }
    for (OwnedMachine machine : machines.values()) {
      if (machine.ordersWaiting()
          && !machine.directInFlight()
          && machine.phase() == MachinePhase.CONFIRMED) {
        machine.ordersWaiting(false);
        List<WorkerCommand> orders = ordersFor(machine);
        Optional<InetSocketAddress> address = addressOf(machine);
        if (!orders.isEmpty() && address.isPresent()) {
          sendDirect(machine, address.get(), orders);
        }
      }
    }
  }

  private static Optional<InetSocketAddress> addressOf(OwnedMachine machine) {
    return WorkerAddress.parse(machine.address());
  }

  /** Where the machines that have reported take direct orders. */
  List<InetSocketAddress> addresses() {
    return machines.values().stream().flatMap(machine -> addressOf(machine).stream()).toList();
  }

  private void sendDirect(
      OwnedMachine machine, InetSocketAddress address, List<WorkerCommand> orders) {
    machine.directInFlight(true);
    String body = WorkerCodec.direct(machine.token(), machine.moment().session(), orders);
    context
        .workers()
        .call(
            address,
            HttpRequest.post(WorkerCodec.ORDERS, body, ORDERS_DEADLINE),
            reply -> directAnswered(machine, reply));
  }

  private void directAnswered(OwnedMachine machine, HttpResponse reply) {
    machine.directInFlight(false);
    if (reply.status() == 200 || reply.status() == 409) {
      try {
        WorkerHeartbeat report = WorkerCodec.parseReport(reply.body());
        if (report.machine().equals(machine.id()) && machines.get(machine.id()) == machine) {
          absorb(machine, report);
          placeAndSend();
        }
        return;
      } catch (MalformedMessageException e) {
        LOG.warn("answer of {}: {}", machine.id(), e.getMessage());
      }
    }
    // The orders may be carried out minutes later; under a higher token they no longer can. The
    // next report's answer repeats what still holds.
    machine.raiseToken(loop.now());
    if (machine.silence(silenceOf(machine, loop.now()))) {
      news(machine.id());
    }
  }

  ShardStatusReporter reports() {
    return reports;
  }
}
