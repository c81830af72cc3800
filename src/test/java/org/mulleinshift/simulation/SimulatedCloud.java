package org.mulleinshift.simulation;

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
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.Predicate;
import org.mulleinshift.invariants.MachineTraits;
import org.mulleinshift.invariants.ObservedJob;
import org.mulleinshift.invariants.StarvationCheck;
import org.mulleinshift.simulation.time.Timeline;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;

/**
 * Simulates a cloud that boots and deletes machines on request. Repeating a successful provisioning
 * request returns the same machines. Listings show the machines as they were some seconds ago.
 */
public final class SimulatedCloud implements StarvationCheck.FreeCapacity {
  private static final int MAX_PAGE = 500;
  private static final double MIN_BOOT_FACTOR = 0.7;
  private static final double BOOT_FACTOR_SPREAD = 0.6;
  private static final int HOSTS_PER_NETWORK = 200;

  /** Machines of one type, zone and kind (spot or on-demand), which have a common limit. */
  private record Pool(String type, String zone, boolean spot) {
    boolean contains(SimulatedMachine machine) {
      MachineTraits traits = machine.traits();
      return traits.type().equals(type) && traits.zone().equals(zone) && traits.spot() == spot;
    }
  }

  private final Timeline timeline;
  private final double minListingLagSeconds;
  private final Function<SimulatedMachine, SimulatedWorker> workerFactory;
  private final ObjectMapper json = new ObjectMapper();
  private final Map<String, MachineSpec> types = new LinkedHashMap<>();
  private final Map<Pool, Integer> capacity = new HashMap<>();
  private final NavigableMap<String, SimulatedMachine> machines = new TreeMap<>();
  private final Map<String, HttpResponse> answeredRequests = new HashMap<>();
  private IntFunction<String> addresses = SimulatedCloud::privateAddress;
  private double outageUntil;
  private double bootsPreventedUntil;
  private double bootDelayFactor = 1;
  private double bootsSlowedUntil;
  private int capacityErrors;

  /**
   * Creates a cloud without machine types.
   *
   * @param minListingLagSeconds minimum age of the state that listings show
   * @param workerFactory starts the worker of a machine that has booted
   */
  public SimulatedCloud(
      Timeline timeline,
      double minListingLagSeconds,
      Function<SimulatedMachine, SimulatedWorker> workerFactory) {
    this.timeline = timeline;
    this.minListingLagSeconds = minListingLagSeconds;
    this.workerFactory = workerFactory;
  }

  /** Sets the function from a machine's number, counted from 1, to its worker's address. */
  public void addresses(IntFunction<String> next) {
    addresses = next;
  }

  private static String privateAddress(int number) {
    int network = number / HOSTS_PER_NETWORK;
    return "10.1." + network + "." + (number % HOSTS_PER_NETWORK + 1) + ":9000";
  }

  /** Adds a machine type to the catalog. */
  public void addMachineType(MachineSpec type) {
    types.put(type.name(), type);
  }

  /** The machine type with the given name, or null if there is none. */
  public MachineSpec machineType(String name) {
    return types.get(name);
  }

  /** Sets how many on-demand machines of the type the zone has. */
  public void onDemandCapacity(String type, String zone, int count) {
    capacity.put(new Pool(type, zone, false), count);
  }

  /** Sets how many spot machines of the type the zone has. */
  public void spotCapacity(String type, String zone, int count) {
    capacity.put(new Pool(type, zone, true), count);
  }

  /** Rejects all requests as unavailable for {@code seconds}. */
  public void outage(double seconds) {
    outageUntil = timeline.seconds() + seconds;
  }

  /** Machines created within the next {@code seconds} never boot. */
  public void preventBoots(double seconds) {
    bootsPreventedUntil = timeline.seconds() + seconds;
  }

  /**
   * Machines requested within the next {@code seconds} take {@code factor} times as long to boot.
   */
  public void slowBoots(double factor, double seconds) {
    bootDelayFactor = factor;
    bootsSlowedUntil = timeline.seconds() + seconds;
  }

  private double drawBootSeconds(MachineSpec type) {
    double factor = timeline.seconds() < bootsSlowedUntil ? bootDelayFactor : 1;
    double variation = MIN_BOOT_FACTOR + BOOT_FACTOR_SPREAD * timeline.random();
    return factor * type.bootSeconds() * variation;
  }

  /** The machines that are not deleted, booted or not. */
  public List<SimulatedMachine> existingMachines() {
    return machines.values().stream().filter(SimulatedMachine::exists).toList();
  }

  /** The machines that have booted and are not deleted. */
  public List<SimulatedMachine> runningMachines() {
    return machines.values().stream().filter(SimulatedMachine::isRunning).toList();
  }

  /** The workers of the running machines. */
  public List<SimulatedWorker> workers() {
    return runningMachines().stream().flatMap(machine -> machine.worker().stream()).toList();
  }

  /** The worker that listens at the address, if its machine has booted and is not deleted. */
  public Optional<SimulatedWorker> workerAt(String address) {
    return machines.values().stream()
        .filter(machine -> machine.address().equals(address))
        .findFirst()
        .filter(SimulatedMachine::exists)
        .flatMap(SimulatedMachine::worker);
  }

  /** How many machines were created so far, including deleted ones. */
  public int createdCount() {
    return machines.size();
  }

  /** How many requests failed for lack of capacity. */
  public int capacityErrors() {
    return capacityErrors;
  }

  @Override
  public boolean fits(ObservedJob job, Predicate<String> zoneAllowed) {
    return runningMachines().stream()
        .filter(machine -> machine.worker().orElseThrow().hasCapacity(job.cpus()))
        .filter(machine -> job.number("ram", 1) <= machine.spec().ramGb())
        .filter(machine -> machine.traits().matches(job))
        .anyMatch(machine -> zoneAllowed.test(machine.zone()));
  }

  /** Handles a request of a controller. */
  public void handle(HttpRequest request, Consumer<HttpResponse> reply) {
    if (timeline.seconds() < outageUntil) {
      reply.accept(new HttpResponse(HttpStatus.UNAVAILABLE, "{\"error\":\"trouble\"}"));
      return;
    }
    try {
      reply.accept(answer(request));
    } catch (IOException e) {
      reply.accept(new HttpResponse(HttpStatus.BAD_REQUEST, "{}"));
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
      body.path("hosts").forEach(host -> delete(machines.get(host.asText())));
      return new HttpResponse(HttpStatus.OK, "{}");
    }
    return create(body);
  }

  private HttpResponse catalog() {
    ObjectNode node = json.createObjectNode();
    ArrayNode list = node.putArray("builds");
    for (MachineSpec type : types.values()) {
      ObjectNode item = list.addObject();
      item.put("label", type.name()).put("cpus", type.cpus()).put("cards", 0);
      item.put("ram_gb", type.ramGb()).put("local_gb", 100).put("pull_gb_per_s", 1);
      item.put("rate", type.onDemandPricePerHour()).put("market_price", type.spotPricePerHour());
      item.put("startup_s", type.bootSeconds());
      ArrayNode zones = item.putArray("yards");
      capacity.keySet().stream()
          .filter(pool -> pool.type().equals(type.name()))
          .map(Pool::zone)
          .distinct()
          .sorted()
          .forEach(zones::add);
    }
    return new HttpResponse(HttpStatus.OK, node.toString());
  }

  private HttpResponse create(JsonNode body) {
    String requestId = body.path("hire").asText();
    if (answeredRequests.containsKey(requestId)) {
      return answeredRequests.get(requestId);
    }
    MachineSpec type = types.get(body.path("build").asText());
    Pool pool = new Pool(type.name(), body.path("yard").asText(), body.path("loaner").asBoolean());
    int count = Math.min(freeIn(pool), body.path("how_many").asInt());
    if (count <= 0) {
      capacityErrors++;
      return new HttpResponse(HttpStatus.UNAVAILABLE, "{\"error\":\"no capacity\"}");
    }
    ObjectNode node = json.createObjectNode();
    ArrayNode hosts = node.putArray("hosts");
    for (int i = 0; i < count; i++) {
      hosts.add(createMachine(type, pool, drawBootSeconds(type)).name());
    }
    HttpResponse reply = new HttpResponse(HttpStatus.OK, node.toString());
    answeredRequests.put(requestId, reply);
    return reply;
  }

  private int freeIn(Pool pool) {
    long taken = existingMachines().stream().filter(pool::contains).count();
    return (int) (capacity.getOrDefault(pool, 0) - taken);
  }

  /** Creates an on-demand machine that no controller requested; it boots after {@code seconds}. */
  public SimulatedMachine createMachine(MachineSpec type, String zone, double seconds) {
    return createMachine(type, new Pool(type.name(), zone, false), seconds);
  }

  private SimulatedMachine createMachine(MachineSpec type, Pool pool, double seconds) {
    int number = machines.size() + 1;
    String name = String.format("i-%06d", number);
    SimulatedMachine machine =
        new SimulatedMachine(
            new MachineTraits(name, type.name(), pool.zone(), pool.spot()),
            addresses.apply(number),
            type,
            timeline.seconds());
    machines.put(name, machine);
    if (timeline.seconds() >= bootsPreventedUntil) {
      timeline.after(seconds, () -> startWorker(machine));
    }
    return machine;
  }

  private void startWorker(SimulatedMachine machine) {
    if (machine.exists()) {
      machine.onBooted(workerFactory.apply(machine), timeline.seconds());
    }
  }

  /** Deletes a machine and its tasks; does nothing if it is null or already deleted. */
  public void delete(SimulatedMachine machine) {
    if (machine != null && machine.exists()) {
      machine.onDeleted(timeline.seconds());
    }
  }

  private HttpResponse list(String path) {
    Map<String, String> query = QueryParameters.of(path);
    int limit = Integer.parseInt(query.getOrDefault("limit", Integer.toString(MAX_PAGE)));
    String from = query.getOrDefault("from", "");
    double moment = timeline.seconds() - minListingLagSeconds * (1 + timeline.random());
    ObjectNode node = json.createObjectNode();
    ArrayNode hosts = node.putArray("hosts");
    boolean more = false;
    for (SimulatedMachine machine : machines.tailMap(from, false).values()) {
      if (machine.existedAt(moment)) {
        if (hosts.size() == Math.min(limit, MAX_PAGE)) {
          more = true;
          break;
        }
        describe(machine, moment, hosts.addObject());
      }
    }
    node.put("more", more);
    return new HttpResponse(HttpStatus.OK, node.toString());
  }

  private static void describe(SimulatedMachine machine, double moment, ObjectNode item) {
    MachineTraits traits = machine.traits();
    item.put("ref", machine.name()).put("addr", machine.address()).put("build", traits.type());
    item.put("yard", traits.zone()).put("loaner", traits.spot());
    item.put("phase", machine.bootedBy(moment) ? "running" : "booting");
    item.put("held_s", machine.ageAt(moment));
  }
}
