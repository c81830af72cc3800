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

/** Writes the requests to the cloud API and parses its responses. */
public final class CloudCodec {
  /** Path of the machine type catalog. */
  public static final String CATALOG_PATH = "/catalog";

  /** Path of the machine list and of provisioning requests. */
  public static final String MACHINES_PATH = "/rentals";

  /** Path of deletion requests. */
  public static final String DELETE_PATH = "/rentals/delete";

  /** Maximum number of machines in one provisioning request. */
  public static final int MAX_MACHINES_PER_REQUEST = 50;

  /** Maximum number of machines in one deletion request. */
  public static final int MAX_MACHINES_PER_DELETION = 100;

  /** Maximum number of machines on one page of the list. */
  public static final int MAX_MACHINES_PER_PAGE = 500;

  private static final int MILLIS_PER_SECOND = 1000;

  /**
   * One page of the machine list.
   *
   * @param more whether there are further pages
   */
  public record Page(List<CloudMachine> machines, boolean more) {}

  private CloudCodec() {}

  /**
   * Parses the machine type catalog; the result keeps its order.
   *
   * @throws MalformedMessageException if the catalog is empty, or a type lacks a field or has an
   *     invalid one
   */
  public static Map<MachineTypeId, MachineType> parseCatalog(String body)
      throws MalformedMessageException {
    Map<MachineTypeId, MachineType> types = new LinkedHashMap<>();
    for (JsonNode item : list(Json.parseObject(body), WireNames.MACHINE_TYPES)) {
      MachineType type = machineType(item);
      types.put(type.id(), type);
    }
    if (types.isEmpty()) {
      throw new MalformedMessageException("empty catalog");
    }
    return types;
  }

  private static MachineType machineType(JsonNode item) throws MalformedMessageException {
    List<ZoneId> zones = new ArrayList<>();
    for (JsonNode zone : list(item, WireNames.ZONES)) {
      zones.add(new ZoneId(zone.asText()));
    }
    return new MachineType(
        new MachineTypeId(Json.text(item, WireNames.MACHINE_TYPE_NAME)),
        new Resources(
            Json.amount(item, WireNames.CPUS),
            Json.amount(item, WireNames.GPUS),
            Json.amount(item, WireNames.MEMORY_GB)),
        Json.amount(item, WireNames.IMAGE_CACHE_GB),
        Json.amount(item, WireNames.FETCH_GB_PER_SECOND),
        Json.amount(item, WireNames.ON_DEMAND_PRICE),
        Json.amount(item, WireNames.SPOT_PRICE),
        duration(Json.amount(item, WireNames.BOOT_SECONDS)),
        List.copyOf(zones));
  }

  /**
   * Writes a provisioning request.
   *
   * @param name idempotency key of the request; must not be reused for another request
   */
  public static String writeProvisioningRequest(
      String name, MachineTypeId type, ZoneId zone, boolean spot, int count) {
    ObjectNode node = Json.object();
    node.put(WireNames.PROVISIONING_REQUEST, name);
    node.put(WireNames.MACHINE_TYPE, type.value());
    node.put(WireNames.ZONE, zone.value());
    node.put(WireNames.SPOT, spot);
    node.put(WireNames.MACHINE_COUNT, count);
    return Json.write(node);
  }

  /**
   * Parses the response to a provisioning request: the names of the new machines.
   *
   * @throws MalformedMessageException if the body is not a list of names
   */
  public static List<MachineId> parseProvisioningResponse(String body)
      throws MalformedMessageException {
    List<MachineId> machines = new ArrayList<>();
    for (JsonNode item : list(Json.parseObject(body), WireNames.MACHINES)) {
      if (!item.isTextual()) {
        throw new MalformedMessageException("hosts contains a value that is not a name");
      }
      machines.add(new MachineId(item.asText()));
    }
    return machines;
  }

  /** Writes a request that deletes the machines. */
  public static String writeDeletionRequest(Collection<MachineId> machines) {
    ObjectNode node = Json.object();
    ArrayNode list = node.putArray(WireNames.MACHINES);
    machines.forEach(machine -> list.add(machine.value()));
    return Json.write(node);
  }

  /**
   * Returns the path of a page of the machine list.
   *
   * @param after the last machine of the previous page; empty: the first page
   */
  public static String machineListPath(Optional<MachineId> after) {
    String from = after.map(machine -> "from=" + machine.value() + "&").orElse("");
    return MACHINES_PATH + "?" + from + "limit=" + MAX_MACHINES_PER_PAGE;
  }

  /**
   * Parses a page of the machine list.
   *
   * @throws MalformedMessageException if the list is missing, or a machine lacks a required field
   *     or is in an unknown phase
   */
  public static Page parseMachineList(String body) throws MalformedMessageException {
    JsonNode node = Json.parseObject(body);
    List<CloudMachine> machines = new ArrayList<>();
    for (JsonNode item : list(node, WireNames.MACHINES)) {
      machines.add(machine(item));
    }
    return new Page(machines, node.path(WireNames.MORE).asBoolean(false));
  }

  private static CloudMachine machine(JsonNode item) throws MalformedMessageException {
    return new CloudMachine(
        new MachineId(Json.text(item, WireNames.ID)),
        item.path(WireNames.ADDRESS).asText(""),
        new MachineTypeId(Json.text(item, WireNames.MACHINE_TYPE)),
        new ZoneId(Json.text(item, WireNames.ZONE)),
        item.path(WireNames.SPOT).asBoolean(),
        phase(Json.text(item, WireNames.PHASE)),
        duration(item.path(WireNames.AGE_SECONDS).asDouble(0)));
  }

  private static Duration duration(double seconds) {
    return Duration.ofMillis((long) (seconds * MILLIS_PER_SECOND));
  }

  private static CloudMachine.Phase phase(String wireName) throws MalformedMessageException {
    return switch (wireName) {
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
