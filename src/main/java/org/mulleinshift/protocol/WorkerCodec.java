package org.mulleinshift.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;

/** The workers' interface: reports in, orders out. */
public final class WorkerCodec {
  public static final String CHECKIN = "/checkin";
  public static final String STATUS = "/status";
  public static final String COMMANDS = "/orders";

  private WorkerCodec() {}

  public static WorkerHeartbeat parseHeartbeat(String body) throws MalformedMessageException {
    return HeartbeatParser.parse(body);
  }

  static WorkerHeartbeat.State state(String wire) throws MalformedMessageException {
    return switch (wire) {
      case "fetching" -> WorkerHeartbeat.State.FETCHING;
      case "waiting" -> WorkerHeartbeat.State.WAITING;
      case "running" -> WorkerHeartbeat.State.RUNNING;
      case "saving" -> WorkerHeartbeat.State.SAVING;
      case "exited" -> WorkerHeartbeat.State.EXITED;
      default -> throw new MalformedMessageException("phase is not one of the known values");
    };
  }

  /** An unknown cause counts as a failure: the task is tried again. */
  static WorkerHeartbeat.Cause cause(String wire) {
    return switch (wire) {
      case "done" -> WorkerHeartbeat.Cause.DONE;
      case "halted" -> WorkerHeartbeat.Cause.STOPPED;
      case "full" -> WorkerHeartbeat.Cause.INSUFFICIENT_RESOURCES;
      case "in_use" -> WorkerHeartbeat.Cause.BUSY;
      case "peers", "incomplete" -> WorkerHeartbeat.Cause.GANG_BROKEN;
      case "no_such" -> WorkerHeartbeat.Cause.UNKNOWN;
      default -> WorkerHeartbeat.Cause.ERROR;
    };
  }

  public static String response(FencingToken token, List<WorkerCommand> orders) {
    if (orders.isEmpty()) {
      // Most reports ask for nothing.
      return "{\"baton\":" + token.value() + ",\"orders\":[]}";
    }
    ObjectNode node = Json.object();
    node.put("baton", token.value());
    node.set("orders", write(orders));
    return Json.write(node);
  }

  public static String direct(FencingToken token, long session, List<WorkerCommand> orders) {
    ObjectNode node = Json.object();
    node.put("baton", token.value());
    node.put("shift", session);
    node.set("orders", write(orders));
    return Json.write(node);
  }

  public static String redirect(NodeId node) {
    return Json.write(Json.object().put("foreman", node.value()));
  }

  private static ArrayNode write(List<WorkerCommand> orders) {
    ArrayNode list = Json.object().putArray("orders");
    for (WorkerCommand order : orders) {
      ObjectNode item = list.addObject();
      item.put("verb", verb(order));
      item.put("piece", order.task().toString());
      item.put("try", order.attempt().value());
      if (order instanceof WorkerCommand.Halt halt) {
        item.put("wind_down_s", seconds(halt.grace()));
      }
    }
    return list;
  }

  private static String verb(WorkerCommand order) {
    if (order instanceof WorkerCommand.Run) {
      return "run";
    }
    return order instanceof WorkerCommand.Halt ? "halt" : "forget";
  }

  private static double seconds(Duration duration) {
    return duration.toMillis() / 1000.0;
  }
}
