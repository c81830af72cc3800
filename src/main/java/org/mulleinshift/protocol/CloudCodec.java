package org.mulleinshift.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The cloud's interface. */
public final class CloudCodec {
  public static final String CATALOG = "/catalog";
  public static final String MACHINES = "/rentals";
  public static final String DELETE = "/rentals/delete";
  public static final int MAX_PROVISIONED = 50;
  public static final int MAX_DELETED = 100;
  public static final int LIST_LIMIT = 500;

  /** One page of the machine list. */
  public record Page(List<CloudMachine> machines, boolean more) {}

  private CloudCodec() {}

  public static Map<MachineTypeId, MachineType> parseCatalog(String body)
      throws MalformedMessageException {
    Map<MachineTypeId, MachineType> types = new LinkedHashMap<>();
    for (JsonNode item : list(Json.parseObject(body), "builds")) {
      List<ZoneId> zones = new ArrayList<>();
      for (JsonNode zone : list(item, "yards")) {
        zones.add(new ZoneId(zone.asText()));
      }
      MachineTypeId id = new MachineTypeId(Json.text(item, "label"));
      types.put(
          id,
          new MachineType(
              id,
              new Resources(
                  Json.amount(item, "cpus"),
                  Json.amount(item, "cards"),
                  Json.amount(item, "ram_gb")),
              Json.amount(item, "local_gb"),
              Json.amount(item, "pull_gb_per_s"),
              Json.amount(item, "rate"),
              Json.amount(item, "market_price"),
              Duration.ofMillis((long) (Json.amount(item, "startup_s") * 1000)),
              List.copyOf(zones)));
    }
    if (types.isEmpty()) {
      throw new MalformedMessageException("empty catalog");
    }
    return types;
  }

  public static String provision(
      String name, MachineTypeId type, ZoneId zone, boolean spot, int count) {
    ObjectNode node = Json.object();
    node.put("hire", name);
    node.put("build", type.value());
    node.put("yard", zone.value());
    node.put("loaner", spot);
    node.put("how_many", count);
    return Json.write(node);
  }

  public static List<MachineId> parseProvisioned(String body) throws MalformedMessageException {
    List<MachineId> machines = new ArrayList<>();
    for (JsonNode item : list(Json.parseObject(body), "hosts")) {
      if (!item.isTextual()) {
        throw new MalformedMessageException("hosts holds something else than names");
      }
      machines.add(new MachineId(item.asText()));
    }
    return machines;
  }

  public static String delete(Collection<MachineId> machines) {
    ObjectNode node = Json.object();
    ArrayNode list = node.putArray("hosts");
    machines.forEach(machine -> list.add(machine.value()));
    return Json.write(node);
  }

  public static String listPath(Optional<MachineId> after) {
    String from = after.map(machine -> "from=" + machine.value() + "&").orElse("");
    return MACHINES + "?" + from + "limit=" + LIST_LIMIT;
  }

  public static Page parseList(String body) throws MalformedMessageException {
    JsonNode node = Json.parseObject(body);
    List<CloudMachine> machines = new ArrayList<>();
    for (JsonNode item : list(node, "hosts")) {
      machines.add(
          new CloudMachine(
              new MachineId(Json.text(item, "ref")),
              item.path("addr").asText(""),
              new MachineTypeId(Json.text(item, "build")),
              new ZoneId(Json.text(item, "yard")),
              item.path("loaner").asBoolean(),
              phase(Json.text(item, "phase")),
              Duration.ofMillis((long) (item.path("held_s").asDouble(0) * 1000))));
    }
    return new Page(machines, node.path("more").asBoolean(false));
  }

  private static CloudMachine.Phase phase(String wire) throws MalformedMessageException {
    return switch (wire) {
      case "booting" -> CloudMachine.Phase.BOOTING;
      case "running" -> CloudMachine.Phase.RUNNING;
      case "failed" -> CloudMachine.Phase.FAILED;
      default -> throw new MalformedMessageException("phase is not one of the known values");
    };
  }

  private static JsonNode list(JsonNode parent, String key) throws MalformedMessageException {
    JsonNode node = parent.path(key);
    if (!node.isArray()) {
      throw new MalformedMessageException(key + " is missing");
    }
    return node;
  }
}
