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
import org.mulleinshift.protocol.WorkerHeartbeat;
import org.mulleinshift.protocol.peer.ShardAssignment;
import org.mulleinshift.protocol.peer.ShardStatusAck;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;

/**
 * A shard under one grant: answers its machines' heartbeats, places the tasks assigned to it, and
 * reports to the leader what became of them. A task counts as absent from a machine only once that
 * is certain.
 */
public final class ShardOwner {
  /**
   * What an owner uses of its node.
   *
   * @param loop owns all state of the shard
   * @param workers sends direct commands
   * @param catalog machine types
   * @param workerTiming of workers
   * @param shardLease for how long an earlier owner may still act
   * @param cancelled whether a job is known to be cancelled
   * @param onStatusChange run when the leader should receive a status soon
   */
  public record Context(
      EventLoop loop,
      AsyncHttpClient workers,
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
   * An owner that knows neither machines nor tasks yet.
   *
   * @param grant under which this node owns the shard
   * @param mayAct whether the node's lease and the grant are valid now
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

  /** The shard's machines as stored. */
  void onRecord(ShardRecord record) {
    if (state.applyRecord(record)) {
      placeAndSend();
    }
  }

  /** What the leader changed in the shard's assignments. */
  void onAssignment(ShardAssignment assignment) {
    if (assignments.apply(assignment)) {
      reconciler.reconcileUnassignedTasks();
      context.onStatusChange().run();
      placeAndSend();
    }
  }

  /** The leader acknowledged the shard's status up to here. */
  void onStatusAck(ShardStatusAck ack) {
    assignments.onStatusAck(ack);
  }

  /** A job was cancelled: its tasks stop without waiting for the leader. */
  void onCancelled(JobId job) {
    for (OwnedTask task : state.tasks()) {
      if (task.id().job().equals(job)) {
        state.requestStop(task);
      }
    }
    placeAndSend();
  }

  /** The answer to a heartbeat, or none if this node must not give one. */
  Optional<String> onHeartbeat(WorkerHeartbeat heartbeat) {
    return state.machine(heartbeat.machine()).flatMap(machine -> respondTo(machine, heartbeat));
  }

  private Optional<String> respondTo(OwnedMachine machine, WorkerHeartbeat heartbeat) {
    if (machine.isDelayedDuplicate(heartbeat, loop.now())) {
      return Optional.empty();
    }
    // A heartbeat that may not be answered still shows that its worker is there and reaches this
    // node.
    machine.markHeartbeatReceived(loop.now());
    if (!mayAct()) {
      return Optional.empty();
    }
    if (heartbeat.highestToken().compareTo(machine.token()) > 0) {
      if (!MachineToken.belongsTo(heartbeat.highestToken(), grant)) {
        // A 200 with a lower token would be dropped and keep the worker here without a lease.
        return Optional.empty();
      }
      machine.adoptToken(heartbeat.highestToken());
    }
    reconciler.apply(machine, heartbeat);
    machine.markResponded(loop.now());
    placeTasks();
    String body =
        WorkerCodec.writeHeartbeatResponse(machine.token(), commandPlanner.commandsFor(machine));
    machine.clearCommandsPending();
    sendDirectCommands();
    return Optional.of(body);
  }

  private void onDirectReport(OwnedMachine machine, WorkerHeartbeat report) {
    reconciler.apply(machine, report);
    placeAndSend();
  }

  /** Called a few times a second. */
  void tick() {
    if (!mayAct()) {
      // Who may not answer hears nothing that counts: the machines may have gone to others.
      return;
    }
    liveness.tick();
    placeAndSend();
  }

  /** The process was paused until now, and received nothing meanwhile. */
  void onProcessPause() {
    liveness.onProcessPause();
  }

  /** How many machines should be heard by now. */
  int expectedMachineCount() {
    return liveness.expectedMachineCount();
  }

  /** How many of those are not heard. */
  int unreachableMachineCount() {
    return liveness.unreachableMachineCount();
  }

  /** Where the machines that have reported take direct commands. */
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
