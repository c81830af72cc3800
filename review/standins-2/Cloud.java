import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The cloud, with one machine type; the list shows machines once they are list_lag_s old. */
final class Cloud implements AutoCloseable {
  private static final class Machine {
    String yard;
    boolean loaner;
    double rentedAt;
    Worker worker;
  }

  private final Cluster cluster;
  private final ScheduledExecutorService timers;
  private final Http.Server server;
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, String> answers = new HashMap<>();
  private int lastMachine = 230;
  volatile int capacity;
  volatile double bootSeconds = 2;

  Cloud(Cluster cluster, ScheduledExecutorService timers, int capacity) throws IOException {
    this.cluster = cluster;
    this.timers = timers;
    this.capacity = capacity;
    this.server = new Http.Server(this::serve);
  }

  int port() {
    return server.port();
  }

  synchronized int count() {
    return machines.size();
  }

  private static double now() {
    return System.nanoTime() / 1e9;
  }

  private Http.Answer serve(Http.Request request) throws Exception {
    Thread.sleep(20);
    synchronized (this) {
      switch (request.path()) {
        case "/catalog":
          return new Http.Answer(
              200,
              Json.write(
                  Json.map(
                      "builds",
                      List.of(
                          Json.map(
                              "label", cluster.options.build, "cpus", cluster.options.buildCpus,
                              "cards", 0, "ram_gb", cluster.options.buildRamGb, "local_gb", 70.0,
                              "pull_gb_per_s", 0.5, "rate", 1.35, "market_price", 0.51,
                              "startup_s", 15, "yards", cluster.options.zones)))));
        case "/rentals":
          return request.method().equals("POST") ? rent(request.body()) : list(request.query());
        case "/rentals/delete":
          for (Object host : (List<?>) Json.object(request.body()).get("hosts")) {
            Machine machine = machines.remove((String) host);
            if (machine != null) {
              cluster.record.add("cloud: %s deleted", host);
              if (machine.worker != null) {
                machine.worker.close();
              }
            }
          }
          return new Http.Answer(200, "{}");
        default:
          return new Http.Answer(400, "{}");
      }
    }
  }

  private Http.Answer rent(String body) {
    Map<String, Object> request = Json.object(body);
    String hire = (String) request.get("hire");
    if (answers.containsKey(hire)) {
      return new Http.Answer(200, answers.get(hire));
    }
    int wanted = ((Number) request.get("how_many")).intValue();
    int count = Math.min(wanted, capacity - machines.size());
    if (count <= 0) {
      return new Http.Answer(503, "{\"error\":\"no capacity\"}");
    }
    List<String> hosts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String host = String.format("i-%06d", ++lastMachine);
      Machine machine = new Machine();
      machine.yard = (String) request.get("yard");
      machine.loaner = (Boolean) request.get("loaner");
      machine.rentedAt = now();
      machines.put(host, machine);
      hosts.add(host);
      timers.schedule(() -> boot(host), (long) (1000 * bootSeconds), TimeUnit.MILLISECONDS);
    }
    cluster.record.add("cloud: %s rented by %s", hosts, hire);
    String answer = Json.write(Json.map("hosts", hosts));
    answers.put(hire, answer);
    return new Http.Answer(200, answer);
  }

  private synchronized void boot(String host) {
    Machine machine = machines.get(host);
    if (machine != null) {
      try {
        machine.worker =
            new Worker(host, machine.yard, machine.loaner, cluster, timers);
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private Http.Answer list(Map<String, String> query) {
    List<Object> hosts = new ArrayList<>();
    boolean more = false;
    int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
    for (Map.Entry<String, Machine> entry :
        machines.tailMap(query.getOrDefault("from", ""), false).entrySet()) {
      Machine machine = entry.getValue();
      double age = now() - machine.rentedAt;
      if (age < cluster.options.listLagSeconds) {
        continue;
      }
      if (hosts.size() == limit) {
        more = true;
        break;
      }
      hosts.add(
          Json.map(
              "ref", entry.getKey(),
              "addr", machine.worker == null ? null : machine.worker.address(),
              "build", cluster.options.build, "yard", machine.yard, "loaner", machine.loaner,
              "phase", machine.worker == null ? "booting" : "running", "held_s", age));
    }
    return new Http.Answer(200, Json.write(Json.map("hosts", hosts, "more", more)));
  }

  @Override
  public synchronized void close() throws IOException {
    server.close();
    for (Machine machine : machines.values()) {
      if (machine.worker != null) {
        machine.worker.close();
      }
    }
  }
}
