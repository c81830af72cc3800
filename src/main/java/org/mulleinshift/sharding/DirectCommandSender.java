package org.mulleinshift.sharding;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
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

/** Sends workers the commands that need not wait for their next heartbeat. */
final class DirectCommandSender {
  private static final Logger LOG = LoggerFactory.getLogger(DirectCommandSender.class);
  private static final Duration COMMAND_DEADLINE = Duration.ofMillis(1200);

  private final EventLoop loop;
  private final AsyncHttpClient httpClient;
  private final ShardState state;
  private final CommandPlanner planner;
  private final LivenessMonitor liveness;
  private final BiConsumer<OwnedMachine, WorkerHeartbeat> onReport;

  /**
   * A sender for one shard under one grant.
   *
   * @param onReport takes the report in a worker's answer
   */
  DirectCommandSender(
      ShardOwner.Context context,
      ShardState state,
      CommandPlanner planner,
      LivenessMonitor liveness,
      BiConsumer<OwnedMachine, WorkerHeartbeat> onReport) {
    this.loop = context.loop();
    this.httpClient = context.workers();
    this.state = state;
    this.planner = planner;
    this.liveness = liveness;
    this.onReport = onReport;
  }

  /**
   * Sends each confirmed machine what is pending, one message at a time; to be called only by an
   * owner that may act.
   */
  void sendPending() {
    for (OwnedMachine machine : state.machines()) {
      if (machine.commandsPending()
          && !machine.directCommandInFlight()
          && machine.phase() == MachinePhase.CONFIRMED) {
        machine.clearCommandsPending();
        List<WorkerCommand> commands = planner.commandsFor(machine);
        Optional<InetSocketAddress> address = WorkerAddress.parse(machine.address());
        if (!commands.isEmpty() && address.isPresent()) {
          send(machine, address.get(), commands);
        }
      }
    }
  }

  private void send(OwnedMachine machine, InetSocketAddress address, List<WorkerCommand> commands) {
    machine.markDirectCommandSent();
    String body =
        WorkerCodec.writeCommands(
            machine.token(), machine.lastHeartbeatVersion().epoch(), commands);
    httpClient.call(
        address,
        HttpRequest.post(WorkerCodec.COMMANDS_PATH, body, COMMAND_DEADLINE),
        reply -> onReply(machine, reply));
  }

  private void onReply(OwnedMachine machine, HttpResponse reply) {
    machine.markDirectCommandEnded();
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
    // The commands may be carried out minutes later; under a higher token they no longer can. The
    // answer to the next heartbeat repeats what still holds.
    machine.raiseToken(loop.now());
    state.updateLiveness(machine, liveness.livenessOf(machine, loop.now()));
  }

  /** Whether the machine was not deleted, or deleted and added again, in the meantime. */
  private boolean isCurrent(OwnedMachine machine) {
    return state.machine(machine.id()).filter(current -> current == machine).isPresent();
  }
}
