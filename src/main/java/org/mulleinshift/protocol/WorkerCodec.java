package org.mulleinshift.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;

/** Parses the heartbeats of workers, and writes the responses and commands to them. */
public final class WorkerCodec {
  /** Path at which a controller accepts heartbeats. */
  public static final String HEARTBEAT_PATH = "/checkin";

  /** Path at which a worker returns its status. */
  public static final String STATUS_PATH = "/status";

  /** Path at which a worker accepts commands. */
  public static final String COMMANDS_PATH = "/orders";

  private static final double MILLIS_PER_SECOND = 1000.0;

  private WorkerCodec() {}

  /**
   * Parses a worker's heartbeat, or the status that it returns to a status request or to commands;
   * both have the same form.
   *
   * @throws MalformedMessageException if a field is missing or invalid
   */
  public static WorkerHeartbeat parseHeartbeat(String body) throws MalformedMessageException {
    return HeartbeatParser.parse(body);
  }

  static WorkerHeartbeat.TaskState parseState(String wireName) throws MalformedMessageException {
    return switch (wireName) {
      case "fetching" -> WorkerHeartbeat.TaskState.FETCHING;
      case "waiting" -> WorkerHeartbeat.TaskState.WAITING;
      case "running" -> WorkerHeartbeat.TaskState.RUNNING;
      case "saving" -> WorkerHeartbeat.TaskState.SAVING;
      case "exited" -> WorkerHeartbeat.TaskState.EXITED;
      default -> throw new MalformedMessageException("phase is not one of the known values");
    };
  }

  /** Parses an exit cause; an unknown one counts as a failure, so the task is retried. */
  static WorkerHeartbeat.ExitCause parseExitCause(String wireName) {
    return switch (wireName) {
      case "done" -> WorkerHeartbeat.ExitCause.DONE;
      case "halted" -> WorkerHeartbeat.ExitCause.STOPPED;
      case "full" -> WorkerHeartbeat.ExitCause.INSUFFICIENT_RESOURCES;
      case "in_use" -> WorkerHeartbeat.ExitCause.OTHER_ATTEMPT_PRESENT;
      case "peers", "incomplete" -> WorkerHeartbeat.ExitCause.GANG_FAILED;
      case "no_such" -> WorkerHeartbeat.ExitCause.NO_SUCH_TASK;
      default -> WorkerHeartbeat.ExitCause.ERROR;
    };
  }

  /** Writes the response to a heartbeat; a worker that has seen a higher token ignores it. */
  public static String writeHeartbeatResponse(FencingToken token, List<WorkerCommand> commands) {
    if (commands.isEmpty()) {
      // Most heartbeats get no commands; writing the text directly avoids building a tree.
      return "{\"baton\":" + token.value() + ",\"orders\":[]}";
    }
    ObjectNode node = Json.object();
    node.put(WireNames.FENCING_TOKEN, token.value());
    node.set(WireNames.COMMANDS, commandArray(commands));
    return Json.write(node);
  }

  /**
   * Writes a request that sends commands to a worker directly. The worker ignores it if it has seen
   * a higher token or is in another epoch.
   */
  public static String writeCommands(FencingToken token, long epoch, List<WorkerCommand> commands) {
    ObjectNode node = Json.object();
    node.put(WireNames.FENCING_TOKEN, token.value());
    node.put(WireNames.WORKER_EPOCH, epoch);
    node.set(WireNames.COMMANDS, commandArray(commands));
    return Json.write(node);
  }

  /** Writes the heartbeat response that redirects a worker to another controller. */
  public static String writeRedirect(NodeId node) {
    return Json.write(Json.object().put(WireNames.REDIRECT_NODE, node.value()));
  }

  private static ArrayNode commandArray(List<WorkerCommand> commands) {
    ArrayNode list = Json.object().putArray(WireNames.COMMANDS);
    for (WorkerCommand command : commands) {
      ObjectNode item = list.addObject();
      item.put(WireNames.COMMAND_KIND, wireNameOf(command));
      item.put(WireNames.TASK, command.task().toString());
      item.put(WireNames.ATTEMPT, command.attempt().value());
      if (command instanceof WorkerCommand.Stop stop) {
        item.put(WireNames.GRACE_SECONDS, seconds(stop.grace()));
      }
    }
    return list;
  }

  private static String wireNameOf(WorkerCommand command) {
    if (command instanceof WorkerCommand.Run) {
      return "run";
    }
    return command instanceof WorkerCommand.Stop ? "halt" : "forget";
  }

  private static double seconds(Duration duration) {
    return duration.toMillis() / MILLIS_PER_SECOND;
  }
}
