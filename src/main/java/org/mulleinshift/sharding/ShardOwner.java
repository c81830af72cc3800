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
  private static final Duration COMMAND_DEADLINE = Duration.ofMillis(1200);
  private static final Duration PLACEMENT_TIMEOUT = Duration.ofSeconds(4);

  /** A shard lies in one zone, and the leader chose it. */
  private static final ZoneId ANY_ZONE = new ZoneId("");

  private static final int MAX_COMMANDS = 200;

  /** What an owner needs of its node. */
  public record Context(
      EventLoop loop,
      AsyncHttpClient workers,
      MachineTypeCatalog catalog,
      PlatformSettings.WorkerTiming timing,
      Duration shardLease,
      Predicate<JobId> cancelled,
      Runnable onStatusChange) {}

  private final Context context;
  private final EventLoop loop;
  private final ShardId id;
  private final Revision grant;
  private final BooleanSupplier mayAct;
  private final MonotonicTime startedAt;
  private MonotonicTime listeningSince;
  private final Map<MachineId, OwnedMachine> machines = new TreeMap<>();
  private final Map<TaskId, OwnedTask> tasks = new LinkedHashMap<>();
  private final Set<OwnedTask> unplaced = new LinkedHashSet<>();
  private final Set<JobId> unreadableJobs = new HashSet<>();
  private Set<MachineId> cordoned = Set.of();
  private final ShardStatusReporter statusReporter;
  private long seenTerm;
  private long seenVersion;
  private Revision recordSeen = new Revision(0);

  ShardOwner(Context context, ShardId id, Revision grant, BooleanSupplier entitled) {
    this.context = context;
    this.loop = context.loop();
    this.id = id;
    this.grant = grant;
    this.mayAct = entitled;
    this.startedAt = loop.now();
    this.listeningSince = startedAt;
    this.statusReporter =
        new ShardStatusReporter(loop, id, grant, machines, tasks, context.onStatusChange());
  }

  Revision grant() {
    return grant;
  }

  /** Whether this node may still act for the shard. */
  boolean mayAct() {
    return mayAct.getAsBoolean();
  }

  /** The shard's machines as stored. A machine that is no longer there was deleted for certain. */
  void onRecord(ShardRecord record) {
    if (record.revision().equals(recordSeen)) {
      return;
    }
    recordSeen = record.revision();
    for (Map.Entry<MachineId, MachineRecord> entry : record.machines().entrySet()) {
      machines
          .computeIfAbsent(
              entry.getKey(), key -> new OwnedMachine(key, entry.getValue(), grant, loop.now()))
          .update(entry.getValue());
      onMachineChanged(entry.getKey());
    }
    List<MachineId> gone = new ArrayList<>(machines.keySet());
    gone.removeAll(record.machines().keySet());
    for (MachineId machine : gone) {
      loseTasks(machines.remove(machine));
    }
    placeAndSend();
  }

  private void loseTasks(OwnedMachine machine) {
    for (OwnedTask task : machine.tasks()) {
      finish(task, task.stopRequested() ? TaskPhase.STOPPED : TaskPhase.LOST);
    }
  }

  private void finish(OwnedTask task, TaskPhase phase) {
    transition(task, phase, null);
  }

  /** All changes of a task's phase pass here, so that what is indexed by it stays in step. */
  private void transition(OwnedTask task, TaskPhase next, MachineId where) {
    OwnedMachine before = task.boundMachine().map(machines::get).orElse(null);
    task.transitionTo(next, where, loop.now());
    OwnedMachine after = task.boundMachine().map(machines::get).orElse(null);
    if (before != null && before != after) {
      before.release(task);
    }
    if (after != null) {
      after.bind(task);
    }
    if (task.phase() != TaskPhase.NEW) {
      unplaced.remove(task);
    }
    statusReporter.markChanged(task.task());
    context.onStatusChange().run();
  }

  private void drop(OwnedTask task) {
    task.boundMachine().map(machines::get).ifPresent(machine -> machine.release(task));
    unplaced.remove(task);
  }

  private void onMachineChanged(MachineId machine) {
    statusReporter.markChanged(machine);
    context.onStatusChange().run();
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
      statusReporter.resetForNewLeader();
    }
    seenTerm = term;
    seenVersion = assignment.getVersion();
    statusReporter.onAssignment(seenTerm, seenVersion);
    cordoned = new HashSet<>();
    assignment.getCordoned().forEach(machine -> cordoned.add(new MachineId(machine)));
    Set<TaskId> named = new HashSet<>();
    unreadableJobs.clear();
    for (AssignedJob job : assignment.getJobs()) {
      ResourceRequest need = ResourceRequest.of(job);
      JobId id = new JobId(job.getJob());
      if (job.getTasks().isEmpty()) {
        unreadableJobs.add(id);
      }
      for (AssignedTask item : job.getTasks()) {
        TaskId task = new TaskId(id, item.getIndex());
        named.add(task);
        onAssigned(task, job, item, need);
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
    adoptUnassignedTasks();
    context.onStatusChange().run();
    placeAndSend();
  }

  /** Up to where the leader knows this shard. */
  void onStatusAck(ShardStatusAck seen) {
    if (seen.getGrant() == grant.value() && seen.getLeaderTerm() >= seenTerm) {
      statusReporter.onAck(seen.getSequence());
    }
  }

  private void onAssigned(TaskId id, AssignedJob job, AssignedTask item, ResourceRequest need) {
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
      statusReporter.markChanged(id);
    }
    // The leader may not know yet what this node does.
    if (item.getStop() || context.cancelled().test(id.job())) {
      requestStop(known);
    }
  }

  /** Tasks that machines reported before the leader's set arrived. */
  private void adoptUnassignedTasks() {
    for (OwnedMachine machine : machines.values()) {
      List<WorkerHeartbeat.Entry> left = new ArrayList<>();
      for (WorkerHeartbeat.Entry entry : machine.unassignedTasks()) {
        OwnedTask task = matching(entry);
        if (task == null) {
          left.add(entry);
        } else {
          onTaskReported(machine, task, entry);
        }
      }
      machine.unassignedTasks(left);
      updateOccupied(machine);
    }
  }

  private void updateOccupied(OwnedMachine machine) {
    if (machine.updateOccupied(unreadableJobs)) {
      onMachineChanged(machine.id());
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
    machine.commandsPending(true);
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
  Optional<String> onHeartbeat(WorkerHeartbeat report) {
    OwnedMachine machine = machines.get(report.machine());
    if (machine == null) {
      return Optional.empty();
    }
    if (machine.isDelayedDuplicate(report, loop.now())) {
      return Optional.empty();
    }
    // A report that may not be answered still shows that its worker is there and reaches this node.
    machine.markReached(loop.now());
    if (!mayAct.getAsBoolean()) {
      return Optional.empty();
    }
    if (report.highestToken().compareTo(machine.token()) > 0) {
      if (!OwnedMachine.belongsTo(report.highestToken(), grant)) {
        // A 200 with a lower token would be dropped and hold the worker here without a lease.
        return Optional.empty();
      }
      machine.adoptToken(report.highestToken());
    }
    applyHeartbeat(machine, report);
    machine.markAnswered(loop.now());
    place();
    String body = WorkerCodec.response(machine.token(), commandsFor(machine));
    machine.commandsPending(false);
    sendDirect();
    return Optional.of(body);
  }

  private void applyHeartbeat(OwnedMachine machine, WorkerHeartbeat report) {
    if (!report.version().isAfter(machine.lastHeartbeat())) {
      return;
    }
    if (machine.isUnchanged(report)) {
      machine.onHeartbeat(report, loop.now());
      return;
    }
    boolean newSession = report.version().epoch() > machine.lastHeartbeat().epoch();
    if (newSession && machine.lastHeartbeat().epoch() > 0) {
      LOG.info("{} began session {}", machine.id(), report.version().epoch());
      // It was answered and ended its session all the same: the answers may not reach it.
      machine.raiseToken(loop.now());
    }
    Set<TaskId> listed = new HashSet<>();
    List<WorkerHeartbeat.Entry> unassignedTasks = new ArrayList<>();
    boolean interrupted = machine.interrupted();
    machine.onHeartbeat(report, loop.now());
    if (interrupted != machine.interrupted()) {
      onMachineChanged(machine.id());
    }
    for (WorkerHeartbeat.Entry entry : report.tasks()) {
      OwnedTask task = matching(entry);
      if (task == null) {
        unassignedTasks.add(entry);
      } else {
        listed.add(entry.task());
        onTaskReported(machine, task, entry);
      }
    }
    machine.unassignedTasks(unassignedTasks);
    updateOccupied(machine);
    boolean knowsToken = report.highestToken().compareTo(machine.token()) >= 0;
    moveMachine(machine, knowsToken ? MachinePhase.CONFIRMED : MachinePhase.REPORTING);
    for (OwnedTask task : machine.tasks()) {
      if (!listed.contains(task.task())) {
        onTaskMissing(machine, task, newSession, knowsToken);
      }
    }
    machine.markApplied(report);
  }

  /** A task that should be on the machine, but is not in its newest report. */
  private void onTaskMissing(
      OwnedMachine machine, OwnedTask task, boolean newSession, boolean knowsToken) {
    if (task.phase() != TaskPhase.STARTING || newSession) {
      finish(task, task.stopRequested() ? TaskPhase.STOPPED : TaskPhase.LOST);
    } else if (task.stopRequested() && knowsToken && !machine.directCommandInFlight()) {
      // Never started, and no order under an older token can start it any more.
      finish(task, TaskPhase.STOPPED);
    } else {
      machine.commandsPending(true);
    }
  }

  private void moveMachine(OwnedMachine machine, MachinePhase next) {
    if (machine.phase() == MachinePhase.CONFIRMED && next == MachinePhase.REPORTING) {
      return;
    }
    if (machine.phase() != next) {
      machine.transitionTo(next);
      onMachineChanged(machine.id());
    }
  }

  private void onTaskReported(OwnedMachine machine, OwnedTask task, WorkerHeartbeat.Entry entry) {
    if (task.bound() && !task.boundTo(machine.id())) {
      LOG.error("{} is on {} and on {}", task.task(), task.machine(), machine.id());
      return;
    }
    TaskPhase phase = TaskPhase.of(entry);
    if (phase == TaskPhase.RUNNING) {
      double cache =
          context.catalog().type(machine.record().type()).map(MachineType::cacheGb).orElse(0.0);
      if (machine.addImage(task.request().image(), task.request().imageGb(), cache)) {
        onMachineChanged(machine.id());
      }
    }
    if (task.phase() != phase) {
      transition(task, phase, machine.id());
    }
  }

  /**
   * Everything the machine still has to do, in one go: every order can be repeated. What must stop
   * comes first: an answer that reaches the worker then never keeps it alive without telling it so.
   */
  private List<WorkerCommand> commandsFor(OwnedMachine machine) {
    List<WorkerCommand> halts = new ArrayList<>();
    List<WorkerCommand> others = new ArrayList<>();
    for (WorkerHeartbeat.Entry unassignedTask : machine.unassignedTasks()) {
      boolean exited = unassignedTask.state() == WorkerHeartbeat.State.EXITED;
      if (!exited && mustStop(unassignedTask.task().job())) {
        halts.add(
            new WorkerCommand.Halt(unassignedTask.task(), unassignedTask.attempt(), Duration.ZERO));
      } else if (exited
          && mayDecide(unassignedTask.task().job())
          && !machine.directCommandInFlight()) {
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
    return halts.subList(0, Math.min(MAX_COMMANDS, halts.size()));
  }

  /**
   * Without the leader's set it is not known which tasks belong here; of jobs that the leader can't
   * read it never is.
   */
  private boolean mayDecide(JobId job) {
    return seenTerm > 0 && !unreadableJobs.contains(job);
  }

  /** Of a task that nobody assigned here. A cancelled job's are to stop, whoever leads. */
  private boolean mustStop(JobId job) {
    return mayDecide(job) || context.cancelled().test(job);
  }

  private Duration graceOf(OwnedTask task) {
    // Nobody has any use for the progress of a cancelled job.
    return context.cancelled().test(task.task().job())
        ? Duration.ZERO
        : Duration.ofMillis((long) (task.saveSeconds() * 1000));
  }

  /** Called a few times a second. */
  void tick() {
    if (!mayAct()) {
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
          && now.isAfter(workerLeaseExpiry(machine))) {
        LOG.info("{} is silent: its lease is over", machine.id());
        moveMachine(machine, MachinePhase.SILENT);
        machine.unassignedTasks(List.of());
        updateOccupied(machine);
        loseTasks(machine);
      }
      if (machine.liveness(silenceOf(machine, now))) {
        onMachineChanged(machine.id());
      }
    }
    placeAndSend();
  }

  /** Most machines, most of the time: neither silent nor near the end of any lease. */
  private boolean justAnswered(OwnedMachine machine, MonotonicTime now) {
    return machine.liveness() == OwnedMachine.Liveness.ALIVE
        && machine.phase() == MachinePhase.CONFIRMED
        && machine.answeredAt().isPresent()
        && now.since(machine.answeredAt().get()).compareTo(context.timing().reportInterval()) < 0;
  }

  /**
   * When the worker has surely ended its session. Until it has shown that it knows our token, the
   * shard's earlier owner may have answered it, for as long as a shard lease lasts.
   */
  private MonotonicTime workerLeaseExpiry(OwnedMachine machine) {
    MonotonicTime last = machine.answeredAt().orElse(startedAt);
    if (machine.phase() != MachinePhase.CONFIRMED) {
      MonotonicTime others = startedAt.plus(context.shardLease());
      last = others.isAfter(last) ? others : last;
    }
    Duration lease = context.timing().lease();
    return last.plus(lease).plus(lease.dividedBy(500)).plusMillis(500);
  }

  /** Whoever reported while this process stood still was not heard: that was not their silence. */
  void onProcessPause() {
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
    return (int) expected().filter(m -> m.liveness() != OwnedMachine.Liveness.ALIVE).count();
  }

  private void placeAndSend() {
    place();
    sendDirect();
  }

  private void place() {
    if (unplaced.isEmpty() || !mayAct.getAsBoolean()) {
      return;
    }
    List<OwnedTask> waiting = new ArrayList<>();
    boolean accounted = allMachinesAccountedFor();
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
    Resources least = UnschedulableRequests.minimumOf(waiting, OwnedTask::request);
    List<MachineCapacity> capacities = capacities(least);
    UnschedulableRequests unplaceable = new UnschedulableRequests();
    MonotonicTime now = loop.now();
    for (OwnedTask task : waiting) {
      if (task.stopRequested() || context.cancelled().test(task.task().job())) {
        finish(task, TaskPhase.STOPPED);
      } else if (!straying.contains(task.task())) {
        Optional<MachineCapacity> capacity =
            unplaceable.covers(task.request())
                ? Optional.empty()
                : BinPacker.best(task.request(), capacities);
        if (capacity.isPresent()) {
          capacity.get().allocate(task.request());
          transition(task, TaskPhase.STARTING, capacity.get().machine());
          machines.get(capacity.get().machine()).commandsPending(true);
        } else {
          unplaceable.add(task.request());
          if (now.isAfter(task.receivedAt().plus(PLACEMENT_TIMEOUT))) {
            finish(task, TaskPhase.REJECTED);
          }
        }
      }
    }
  }

  /** A fresh owner knows where inherited tasks are not only once each machine is accounted for. */
  private boolean allMachinesAccountedFor() {
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
      machine.tasks().forEach(task -> images.add(task.request().image()));
      capacities.add(
          new MachineCapacity(
              machine.id(), id, ANY_ZONE, type.get(), machine.record().spot(), free, images));
    }
    return capacities;
  }

  private boolean usable(OwnedMachine machine, MonotonicTime now) {
    return machine.phase() == MachinePhase.CONFIRMED
        && machine.record().up()
        && !cordoned.contains(machine.id())
        && !machine.interrupted()
        && silenceOf(machine, now) == OwnedMachine.Liveness.ALIVE
        && machine.unassignedTasks().stream()
            .allMatch(entry -> entry.state() == WorkerHeartbeat.State.EXITED);
  }

  private OwnedMachine.Liveness silenceOf(OwnedMachine machine, MonotonicTime now) {
    MonotonicTime last = machine.reachedAt().orElse(startedAt);
    Duration silent = now.since(listeningSince.isAfter(last) ? listeningSince : last);
    Duration quiet = context.timing().reportInterval().multipliedBy(5).dividedBy(2);
    Duration gone = context.timing().lease().plusSeconds(1);
    if (machine.reachedAt().isEmpty()) {
      // The shard's earlier owner may answer it for a shard lease; then it must find this node.
      // No longer than that: a dark zone's machines are replaced while it is dark.
      Duration answered = context.shardLease().plus(quiet);
      gone = answered.compareTo(gone) > 0 ? answered : gone;
    }
    Duration deaf = machine.awaitingEchoSince().map(now::since).orElse(Duration.ZERO);
    if (silent.compareTo(gone) > 0
        || deaf.compareTo(context.timing().lease().multipliedBy(2)) > 0) {
      return OwnedMachine.Liveness.LOST;
    }
    boolean quietOrDeaf = silent.compareTo(quiet) >= 0 || machine.awaitingEchoSince().isPresent();
    return quietOrDeaf ? OwnedMachine.Liveness.SUSPECTED : OwnedMachine.Liveness.ALIVE;
  }

  /** Orders that need not wait for the next report. */
  private void sendDirect() {
    if (!mayAct.getAsBoolean()) {
      return;
    }
    for (OwnedMachine machine : machines.values()) {
      if (machine.commandsPending()
          && !machine.directCommandInFlight()
          && machine.phase() == MachinePhase.CONFIRMED) {
        machine.commandsPending(false);
        List<WorkerCommand> orders = commandsFor(machine);
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
    machine.directCommandInFlight(true);
    String body = WorkerCodec.direct(machine.token(), machine.lastHeartbeat().epoch(), orders);
    context
        .workers()
        .call(
            address,
            HttpRequest.post(WorkerCodec.COMMANDS, body, COMMAND_DEADLINE),
            reply -> directAnswered(machine, reply));
  }

  private void directAnswered(OwnedMachine machine, HttpResponse reply) {
    machine.directCommandInFlight(false);
    if (reply.status() == 200 || reply.status() == 409) {
      try {
        WorkerHeartbeat report = WorkerCodec.parseHeartbeat(reply.body());
        if (report.machine().equals(machine.id()) && machines.get(machine.id()) == machine) {
          applyHeartbeat(machine, report);
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
    if (machine.liveness(silenceOf(machine, loop.now()))) {
      onMachineChanged(machine.id());
    }
  }

  ShardStatusReporter statusReporter() {
    return statusReporter;
  }
}
