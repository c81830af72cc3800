package org.mulleinshift.sharding;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.mulleinshift.model.ClusterView.ShardRecord;
import org.mulleinshift.placement.MachineTypeCatalog;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.protocol.WorkerCommand;
import org.mulleinshift.protocol.WorkerHeartbeat;
import org.mulleinshift.protocol.peer.ShardAssignment;
import org.mulleinshift.protocol.peer.ShardStatusAck;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns a shard under one grant: responds to the heartbeats of its machines, places the tasks
 * assigned to it and reports their status to the leader. A task is treated as absent from a machine
 * only once that is certain.
 */
public final class ShardOwner {
  private static final Logger LOG = LoggerFactory.getLogger(ShardOwner.class);

  /**
   * What an owner needs of its node.
   *
   * @param loop the event loop that all state of the shard is confined to
   * @param workerClient client for direct commands
   * @param catalog the machine types
   * @param workerTiming the times that workers keep
   * @param shardLease time for which an earlier owner may still act after a grant
   * @param cancelled tells whether a job is known to be cancelled
   * @param onStatusChange run when the leader should receive a status soon
   */
  public record Context(
      EventLoop loop,
      AsyncHttpClient workerClient,
      MachineTypeCatalog catalog,
      PlatformSettings.WorkerTiming workerTiming,
      Duration shardLease,
      Predicate<JobId> cancelled,
      Runnable onStatusChange) {}

  private final Context context;
  private final EventLoop loop;
  private final Revision grant;
  private final BooleanSupplier mayAct;
  private final ShardState state;
  private final AssignmentReceiver assignments;
  private final HeartbeatReconciler reconciler;
  private final LivenessMonitor liveness;
  private final TaskPlacer placer;
  private final CommandPlanner commandPlanner;
  private final DirectCommandSender directCommands;

  /**
   * Creates an owner without machines and tasks.
   *
   * @param grant the grant under which this node owns the shard
   * @param mayAct tells whether the node's lease and the grant are valid now
   */
  ShardOwner(Context context, ShardId id, Revision grant, BooleanSupplier mayAct) {
    this.context = context;
    this.loop = context.loop();
    this.grant = grant;
    this.mayAct = mayAct;
    this.state = new ShardState(loop, id, grant, context.onStatusChange());
    this.assignments = new AssignmentReceiver(loop, grant, context.cancelled(), state);
    this.reconciler = new HeartbeatReconciler(loop, context.catalog(), state, assignments);
    this.liveness =
        new LivenessMonitor(loop, context.workerTiming(), context.shardLease(), state, assignments);
    this.placer = new TaskPlacer(context, id, state, assignments, liveness);
    this.commandPlanner = new CommandPlanner(context.cancelled(), assignments);
    this.directCommands =
        new DirectCommandSender(context, state, commandPlanner, liveness, this::onDirectReport);
  }

  Revision grant() {
    return grant;
  }

  /** Whether this node may still act for the shard. */
  boolean mayAct() {
    return mayAct.getAsBoolean();
  }

  /** Applies the shard's stored record. */
  void onRecord(ShardRecord record) {
    if (state.applyRecord(record)) {
      placeAndSend();
    }
  }

  /** Applies the leader's changes to the shard's assignments. */
  void onAssignment(ShardAssignment assignment) {
    if (assignments.apply(assignment)) {
      reconciler.reconcileUnassignedTasks();
      context.onStatusChange().run();
      placeAndSend();
    }
  }

  /** Handles the leader's acknowledgement of the shard's status up to a sequence number. */
  void onStatusAck(ShardStatusAck ack) {
    assignments.onStatusAck(ack);
  }

  /** Stops the tasks of a cancelled job without waiting for the leader. */
  void onCancelled(JobId job) {
    for (OwnedTask task : state.tasks()) {
      if (task.id().job().equals(job)) {
        state.requestStop(task);
      }
    }
    placeAndSend();
  }

  /**
   * Handles a heartbeat.
   *
   * @return the body of the response; empty if this node must not respond
   */
  Optional<String> onHeartbeat(WorkerHeartbeat heartbeat) {
    return state.machine(heartbeat.machine()).flatMap(machine -> respondTo(machine, heartbeat));
  }

  private Optional<String> respondTo(OwnedMachine machine, WorkerHeartbeat heartbeat) {
    if (machine.isDelayedDuplicate(heartbeat, loop.now())) {
      if (machine.hasLostToken(heartbeat)) {
        fenceRestartedWorker(machine, heartbeat);
      }
      return Optional.empty();
    }
    // Even without a response, the heartbeat shows that its worker is alive and reaches this node.
    machine.markHeartbeatReceived(heartbeat.version(), loop.now());
    if (!mayAct()) {
      return Optional.empty();
    }
    if (heartbeat.highestToken().compareTo(machine.token()) > 0) {
      if (!MachineToken.belongsTo(heartbeat.highestToken(), grant)) {
        // The worker would drop a 200 with a lower token, yet stay with this node without its lease
        // being renewed.
        return Optional.empty();
      }
      machine.adoptToken(heartbeat.highestToken());
    }
    if (machine.hasLostToken(heartbeat)) {
      state.raiseTokenInResponse(machine, TokenRaise.WORKER_RESTARTED);
    }
    reconciler.apply(machine, heartbeat);
    machine.markResponded(loop.now());
    placeTasks();
    List<WorkerCommand> commands = planResponse(machine);
    String body = WorkerCodec.writeHeartbeatResponse(machine.token(), commands);
    machine.commands().onResponse(commands, machine.token());
    LOG.debug(
        "heartbeat answered, machine={} grant={} version={} worker_token={} token={} commands={}",
        machine.id(),
        grant,
        heartbeat.version(),
        heartbeat.highestToken(),
        machine.token(),
        commands);
    sendDirectCommands();
    return Optional.of(body);
  }

  /** The commands for the response to a heartbeat, under the token that they need. */
  private List<WorkerCommand> planResponse(OwnedMachine machine) {
    if (commandPlanner.mustRaiseTokenToForget(machine)) {
      state.raiseTokenInResponse(machine, TokenRaise.FORGET);
    }
    return commandPlanner.commandsFor(machine);
  }

  /**
   * Gives a worker a token although its heartbeat may not be responded to: it may be a delayed
   * copy, and a response would renew the lease of a worker that is still to be found dead.
   */
  private void fenceRestartedWorker(OwnedMachine machine, WorkerHeartbeat heartbeat) {
    if (mayAct() && !machine.commands().isDirectMessageInFlight()) {
      state.raiseToken(machine, TokenRaise.WORKER_RESTARTED);
      directCommands.sendToken(machine, heartbeat);
    }
  }

  private void onDirectReport(OwnedMachine machine, WorkerHeartbeat report) {
    reconciler.apply(machine, report);
    placeAndSend();
  }

  /** Checks the machines and sends what is due; called a few times a second. */
  void tick() {
    if (!mayAct()) {
      // While this node may not respond, silence proves nothing: workers may have moved to others.
      return;
    }
    liveness.tick();
    placeAndSend();
  }

  /** Logs how many commands were sent, refused and unanswered; called once in a while. */
  void logCommandCounts() {
    state.commandCounters().logIfChanged();
  }

  /** Handles the end of a pause of this process, during which it received nothing. */
  void onProcessPause() {
    liveness.onProcessPause();
  }

  /** The number of machines whose heartbeats should be arriving. */
  int expectedMachineCount() {
    return liveness.expectedMachineCount();
  }

  /** The number of those that are not alive. */
  int unreachableMachineCount() {
    return liveness.unreachableMachineCount();
  }

  /** The addresses at which the machines that have reported a valid one accept direct commands. */
  List<InetSocketAddress> workerAddresses() {
    return state.machines().stream()
        .flatMap(machine -> WorkerAddress.parse(machine.address()).stream())
        .toList();
  }

  ShardStatusReporter statusReporter() {
    return state.statusReporter();
  }

  private void placeAndSend() {
    placeTasks();
    sendDirectCommands();
  }

  private void placeTasks() {
    if (!state.unplacedTasks().isEmpty() && mayAct()) {
      placer.placeTasks();
    }
  }

  private void sendDirectCommands() {
    if (mayAct()) {
      directCommands.sendPending();
    }
  }
}
