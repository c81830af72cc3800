package org.mulleinshift.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.IntFunction;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;

/** A stand-in for the cloud. */
final class SimCloud {
  /** A machine type as the scenario gives it. */
  record Type(String name, double cpus, double ram, double price, double spotPrice, double boot) {}

  /** A rented machine. */
  static final class Machine {
    final String name;
    final String address;
    final String type;
    final String zone;
    final boolean spot;
    final double cpus;
    final double createdAt;
    double goneAt = Double.MAX_VALUE;
    double upAt = Double.MAX_VALUE;
    SimWorker worker;

    Machine(String name, String address, Type type, String zone, boolean spot, double createdAt) {
      this.name = name;
      this.address = address;
      this.type = type.name();
      this.zone = zone;
      this.spot = spot;
      this.cpus = type.cpus();
      this.createdAt = createdAt;
    }

    boolean exists() {
      return goneAt == Double.MAX_VALUE;
    }
  }

  private static final int MAX_PAGE = 500;

  private final World world;
  private final double lag;
  private final Function<Machine, SimWorker> starter;
  private final ObjectMapper json = new ObjectMapper();
  private final Map<String, Type> types = new LinkedHashMap<>();
  private final Map<String, Integer> capacity = new HashMap<>();
  private final NavigableMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, HttpResponse> answered = new HashMap<>();
  private IntFunction<String> addresses = SimCloud::privateAddress;
  private double outageUntil;
  private double stuckUntil;
  private double bootFactor = 1;
  private double bootFactorUntil;
  private int refusals;

  SimCloud(World world, double lag, Function<Machine, SimWorker> starter) {
    this.world = world;
    this.lag = lag;
    this.starter = starter;
  }

  /** Where the worker of the machine with that number listens, from 1 on. */
  void addresses(IntFunction<String> next) {
    addresses = next;
  }

  private static String privateAddress(int number) {
    return "10.1." + number / 200 + "." + (number % 200 + 1) + ":9000";
  }

  void add(Type type) {
    types.put(type.name(), type);
  }

  void capacity(String type, String zone, boolean spot, int count) {
    capacity.put(type + " " + zone + " " + spot, count);
  }

  void outage(double seconds) {
    outageUntil = world.seconds() + seconds;
  }

  /** Machines rented from now on never come up. */
  void stuckBoots(double seconds) {
    stuckUntil = world.seconds() + seconds;
  }

  /** Machines rented from now on come up so many times later, or sooner. */
  void bootFactor(double factor, double seconds) {
    bootFactor = factor;
    bootFactorUntil = world.seconds() + seconds;
  }

  private double bootSeconds(Type type) {
    double factor = world.seconds() < bootFactorUntil ? bootFactor : 1;
    return factor * type.boot() * (0.7 + 0.6 * world.random());
  }

  List<Machine> existing() {
    return machines.values().stream().filter(Machine::exists).toList();
  }

  List<Machine> up() {
    return existing().stream().filter(machine -> machine.worker != null).toList();
  }

  Machine byAddress(String address) {
    return machines.values().stream()
        .filter(machine -> machine.address.equals(address))
        .findFirst()
        .orElse(null);
  }

  int rented() {
    return machines.size();
  }

  int refusals() {
    return refusals;
  }

  void handle(HttpRequest request, java.util.function.Consumer<HttpResponse> reply) {
    if (world.seconds() < outageUntil) {
      reply.accept(new HttpResponse(503, "{\"error\":\"trouble\"}"));
      return;
    }
    try {
      reply.accept(answer(request));
    } catch (IOException e) {
      reply.accept(new HttpResponse(400, "{}"));
    }
  }

  private HttpResponse answer(HttpRequest request) throws IOException {
    if (request.path().equals("/catalog")) {
      return catalog();
    }
    if (request.path().startsWith("/rentals?")) {
      return list(request.path());
    }
    JsonNode body = json.readTree(request.body().orElse("{}"));
    if (request.path().equals("/rentals/delete")) {
      body.path("hosts").forEach(host -> remove(machines.get(host.asText())));
      return new HttpResponse(200, "{}");
    }
    return rent(body);
  }

  private HttpResponse catalog() {
    ObjectNode node = json.createObjectNode();
    var list = node.putArray("builds");
    for (Type type : types.values()) {
      ObjectNode item = list.addObject();
      item.put("label", type.name()).put("cpus", type.cpus()).put("cards", 0);
      item.put("ram_gb", type.ram()).put("local_gb", 100).put("pull_gb_per_s", 1);
      item.put("rate", type.price()).put("market_price", type.spotPrice());
      item.put("startup_s", type.boot());
      var zones = item.putArray("yards");
      capacity.keySet().stream()
          .filter(key -> key.startsWith(type.name() + " "))
          .map(key -> key.split(" ", 0)[1])
          .distinct()
          .sorted()
          .forEach(zones::add);
    }
    return new HttpResponse(200, node.toString());
  }

  private HttpResponse rent(JsonNode body) {
    String hire = body.path("hire").asText();
    if (answered.containsKey(hire)) {
      return answered.get(hire);
    }
    Type type = types.get(body.path("build").asText());
    String zone = body.path("yard").asText();
    boolean spot = body.path("loaner").asBoolean();
    String key = type.name() + " " + zone + " " + spot;
    long taken =
        existing().stream().filter(m -> key.equals(m.type + " " + m.zone + " " + m.spot)).count();
    int free = (int) (capacity.getOrDefault(key, 0) - taken);
    int count = Math.min(free, body.path("how_many").asInt());
    if (count <= 0) {
      refusals++;
      return new HttpResponse(503, "{\"error\":\"no capacity\"}");
    }
    ObjectNode node = json.createObjectNode();
    var hosts = node.putArray("hosts");
    for (int i = 0; i < count; i++) {
      hosts.add(boot(type, zone, spot, bootSeconds(type)).name);
    }
    HttpResponse reply = new HttpResponse(200, node.toString());
    answered.put(hire, reply);
    return reply;
  }

  /** A machine that some request made. */
  Machine boot(Type type, String zone, boolean spot, double seconds) {
    int number = machines.size() + 1;
    Machine machine =
        new Machine(
            String.format("i-%06d", number),
            addresses.apply(number),
            type,
            zone,
            spot,
            world.seconds());
    machines.put(machine.name, machine);
    if (world.seconds() >= stuckUntil) {
      world.after(
          seconds,
          () -> {
            if (machine.exists()) {
              machine.upAt = world.seconds();
              machine.worker = starter.apply(machine);
            }
          });
    }
    return machine;
  }

  Type type(String name) {
    return types.get(name);
  }

  void remove(Machine machine) {
    if (machine != null && machine.exists()) {
      machine.goneAt = world.seconds();
      if (machine.worker != null) {
        machine.worker.vanish();
      }
    }
  }

  private HttpResponse list(String path) {
    Map<String, String> query = Query.of(path);
    int limit = Integer.parseInt(query.getOrDefault("limit", Integer.toString(MAX_PAGE)));
    String from = query.getOrDefault("from", "");
    double moment = world.seconds() - lag * (1 + world.random());
    ObjectNode node = json.createObjectNode();
    ArrayNode hosts = node.putArray("hosts");
    boolean more = false;
    for (Machine machine : machines.tailMap(from, false).values()) {
      if (machine.createdAt > moment || machine.goneAt <= moment) {
        continue;
      }
      if (hosts.size() == Math.min(limit, MAX_PAGE)) {
        more = true;
        break;
      }
      ObjectNode item = hosts.addObject();
      item.put("ref", machine.name).put("addr", machine.address).put("build", machine.type);
      item.put("yard", machine.zone).put("loaner", machine.spot);
      item.put("phase", machine.upAt <= moment ? "running" : "booting");
      item.put("held_s", moment - machine.createdAt);
    }
    node.put("more", more);
    return new HttpResponse(200, node.toString());
  }
}
