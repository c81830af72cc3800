package org.mulleinshift.sharding;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.mulleinshift.protocol.FencingToken;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.protocol.WorkerCommand;
import org.mulleinshift.protocol.WorkerHeartbeat;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;
import org.mulleinshift.transport.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends commands directly to workers, without waiting for their next heartbeat. */
final class DirectCommandSender {
  private static final Logger LOG = LoggerFactory.getLogger(DirectCommandSender.class);
  private static final Duration COMMAND_TIMEOUT = Duration.ofMillis(1200);

  private final EventLoop loop;
  private final AsyncHttpClient httpClient;
  private final ShardState state;
  private final CommandPlanner planner;
  private final LivenessMonitor liveness;
  private final BiConsumer<OwnedMachine, WorkerHeartbeat> onReport;

  /**
   * Creates a sender for one shard under one grant.
   *
   * @param onReport receives the report in a worker's response
   */
  DirectCommandSender(
      ShardOwner.Context context,
      ShardState state,
      CommandPlanner planner,
      LivenessMonitor liveness,
      BiConsumer<OwnedMachine, WorkerHeartbeat> onReport) {
    this.loop = context.loop();
    this.httpClient = context.workerClient();
    this.state = state;
    this.planner = planner;
    this.liveness = liveness;
    this.onReport = onReport;
  }

  /**
   * Sends the pending commands to each confirmed machine that has no direct message in flight. Only
   * an owner that may act may call this.
   */
  void sendPending() {
    for (OwnedMachine machine : state.machines()) {
      if (machine.commands().isPending()
          && !machine.commands().isDirectMessageInFlight()
          && machine.phase() == MachinePhase.CONFIRMED) {
        machine.commands().clearPending();
        List<WorkerCommand> commands = planner.commandsFor(machine);
        Optional<InetSocketAddress> address = WorkerAddress.parse(machine.address());
        if (!commands.isEmpty() && address.isPresent()) {
          send(machine, address.get(), machine.lastHeartbeatVersion().epoch(), commands);
        }
      }
    }
  }

  /** Sends the machine's token without commands to the worker that sent the heartbeat. */
  void sendToken(OwnedMachine machine, WorkerHeartbeat heartbeat) {
    WorkerAddress.parse(heartbeat.address())
        .ifPresent(address -> send(machine, address, heartbeat.version().epoch(), List.of()));
  }

  private void send(
      OwnedMachine machine, InetSocketAddress address, long epoch, List<WorkerCommand> commands) {
    machine.commands().onDirectMessageSent(commands, machine.token());
    state.commandCounters().onDirectMessage();
    LOG.debug(
        "direct message sent, machine={} token={} epoch={} commands={}",
        machine.id(),
        machine.token(),
        epoch,
        commands);
    FencingToken token = machine.token();
    String body = WorkerCodec.writeCommands(machine.token(), epoch, commands);
    httpClient.call(
        address,
        HttpRequest.post(WorkerCodec.COMMANDS_PATH, body, COMMAND_TIMEOUT),
        reply -> onReply(machine, token, reply));
  }

  private void onReply(OwnedMachine machine, FencingToken token, HttpResponse reply) {
    machine.commands().onDirectMessageEnded();
    LOG.debug(
        "direct message ended, machine={} token={} status={}", machine.id(), token, reply.status());
    if (reply.status() == HttpStatus.CONFLICT) {
      state.commandCounters().onRefused();
    }
    if (reply.status() == HttpStatus.OK || reply.status() == HttpStatus.CONFLICT) {
      try {
        WorkerHeartbeat report = WorkerCodec.parseHeartbeat(reply.body());
        if (report.machine().equals(machine.id()) && isCurrent(machine)) {
          onReport.accept(machine, report);
        }
        return;
      } catch (MalformedMessageException e) {
        LOG.warn("malformed answer, machine={} error={}", machine.id(), e.getMessage());
      }
    }
    // A worker may still receive the commands minutes later. The higher token makes it drop them;
    // the response to its next heartbeat repeats those that still apply.
    state.commandCounters().onUnanswered();
    state.raiseToken(machine, TokenRaise.MESSAGE_UNANSWERED);
    state.updateLiveness(machine, liveness.livenessOf(machine, loop.now()));
  }

  /** Whether this is still the shard's machine: not deleted, nor deleted and added again. */
  private boolean isCurrent(OwnedMachine machine) {
    return state.machine(machine.id()).filter(current -> current == machine).isPresent();
  }
}
