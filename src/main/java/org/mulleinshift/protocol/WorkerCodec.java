package org.mulleinshift.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The workers' interface: reports in, orders out. */
public final class WorkerCodec {
  public static final String CHECKIN = "/checkin";
  public static final String ORDERS = "/orders";

  private WorkerCodec() {}

  public static WorkerReport parseReport(String body) throws BadMessage {
    JsonNode node = Json.parseObject(body);
    List<WorkerReport.Entry> tasks = new ArrayList<>();
    JsonNode list = node.path("pieces");
    if (!list.isArray()) {
      throw new BadMessage("pieces is missing");
    }
    for (JsonNode item : list) {
      tasks.add(entry(item));
    }
    return new WorkerReport(
        new MachineId(Json.text(node, "host")),
        Json.text(node, "addr"),
        new MachineTypeId(Json.text(node, "build")),
        new ZoneId(Json.text(node, "yard")),
        Json.flag(node, "loaner"),
        new WorkerMoment(
            Json.count(node, "shift", 0, Long.MAX_VALUE),
            Json.count(node, "tick", 0, Long.MAX_VALUE)),
        new FencingToken(Json.count(node, "baton", 0, Long.MAX_VALUE)),
        node.hasNonNull("recall_s")
            ? Optional.of(Duration.ofMillis((long) (Json.amount(node, "recall_s") * 1000)))
            : Optional.empty(),
        tasks);
  }

  private static WorkerReport.Entry entry(JsonNode item) throws BadMessage {
    String name = Json.text(item, "piece");
    int slash = name.lastIndexOf('/');
    int index;
    try {
      index = Integer.parseInt(name.substring(slash + 1));
    } catch (NumberFormatException e) {
      throw new BadMessage("piece is not a task id");
    }
    if (slash <= 0 || index < 0) {
      throw new BadMessage("piece is not a task id");
    }
    return new WorkerReport.Entry(
        new TaskId(new JobId(name.substring(0, slash)), index),
        new Attempt(Json.count(item, "try", 0, Long.MAX_VALUE)),
        state(Json.text(item, "phase")),
        item.hasNonNull("cause") ? cause(Json.text(item, "cause")) : WorkerReport.Cause.NONE);
  }

  private static WorkerReport.State state(String wire) throws BadMessage {
    return switch (wire) {
      case "fetching" -> WorkerReport.State.FETCHING;
      case "waiting" -> WorkerReport.State.WAITING;
      case "running" -> WorkerReport.State.RUNNING;
      case "saving" -> WorkerReport.State.SAVING;
      case "exited" -> WorkerReport.State.EXITED;
      default -> throw new BadMessage("phase is not one of the known values");
    };
  }

  /** An unknown cause counts as a failure: the task is tried again. */
  private static WorkerReport.Cause cause(String wire) {
    return switch (wire) {
      case "done" -> WorkerReport.Cause.DONE;
      case "halted" -> WorkerReport.Cause.STOPPED;
      case "full" -> WorkerReport.Cause.NO_ROOM;
      case "in_use" -> WorkerReport.Cause.BUSY;
      case "peers", "incomplete" -> WorkerReport.Cause.GANG_BROKEN;
      case "no_such" -> WorkerReport.Cause.UNKNOWN;
      default -> WorkerReport.Cause.ERROR;
    };
  }

  public static String response(FencingToken token, List<Order> orders) {
    ObjectNode node = Json.object();
    node.put("baton", token.value());
    node.set("orders", write(orders));
    return Json.write(node);
  }

  public static String direct(FencingToken token, long session, List<Order> orders) {
    ObjectNode node = Json.object();
    node.put("baton", token.value());
    node.put("shift", session);
    node.set("orders", write(orders));
    return Json.write(node);
  }

  public static String redirect(NodeId node) {
    return Json.write(Json.object().put("foreman", node.value()));
  }

  private static ArrayNode write(List<Order> orders) {
    ArrayNode list = Json.object().putArray("orders");
    for (Order order : orders) {
      ObjectNode item = list.addObject();
      item.put("verb", verb(order));
      item.put("piece", order.task().toString());
      item.put("try", order.attempt().value());
      if (order instanceof Order.Halt halt) {
        item.put("wind_down_s", seconds(halt.grace()));
      }
    }
    return list;
  }

  private static String verb(Order order) {
    if (order instanceof Order.Run) {
      return "run";
    }
    return order instanceof Order.Halt ? "halt" : "forget";
  }

  private static double seconds(Duration duration) {
    return duration.toMillis() / 1000.0;
  }
}
