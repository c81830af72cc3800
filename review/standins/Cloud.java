import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the cloud: one type of machine in two zones. */
final class Cloud {
  private static final class Machine {
    String ref;
    String yard;
    boolean loaner;
    long rentedAt = System.nanoTime();
    long listedFrom;
    long goneAt;
    Worker worker;
  }

  private final Cluster cluster;
  private final int perZone;
  private final long listLagMs;
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, String> answers = new HashMap<>();
  private int last;
  volatile double bootS = 15;

  /** While set, machines that are being rented don't come up; afterwards one after the other. */
  volatile boolean slowBoots;

  volatile long bootGapMs;

  Cloud(Cluster cluster, int perZone, long listLagMs) {
    this.cluster = cluster;
    this.perZone = perZone;
    this.listLagMs = listLagMs;
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  /** A machine that is up before the service starts. */
  synchronized Worker addUp(String yard) throws Exception {
    Machine machine = add(yard, true);
    machine.listedFrom = 0;
    boot(machine);
    return machine.worker;
  }

  private Machine add(String yard, boolean loaner) {
    Machine machine = new Machine();
    machine.ref = String.format("i-%06d", ++last);
    machine.yard = yard;
    machine.loaner = loaner;
    machine.listedFrom = now() + listLagMs;
    machines.put(machine.ref, machine);
    return machine;
  }

  private synchronized void boot(Machine machine) throws Exception {
    if (machine.goneAt == 0) {
      machine.worker = new Worker(cluster, machine.ref, machine.yard, machine.loaner);
      cluster.record.line("cloud: " + machine.ref + " up in " + machine.yard);
      machine.worker.start();
    }
  }

  synchronized List<Worker> workers() {
    List<Worker> up = new ArrayList<>();
    machines.values().forEach(machine -> {
      if (machine.worker != null && machine.goneAt == 0) {
        up.add(machine.worker);
      }
    });
    return up;
  }

  Http.Answer handle(String method, String path, String body) throws Exception {
    Http.sleep(20);
    if (path.equals("/catalog")) {
      return new Http.Answer(
          200,
          "{\"builds\":[{\"label\":\"pampa-16\",\"cpus\":16,\"cards\":0,\"ram_gb\":128,"
              + "\"local_gb\":60,\"pull_gb_per_s\":1.0,\"rate\":1.35,\"market_price\":0.51,"
              + "\"startup_s\":15,\"yards\":[\"mvd-centro\",\"salto-norte\"]}]}");
    }
    if (path.equals("/rentals/delete")) {
      return delete(Http.JSON.readTree(body));
    }
    if (path.equals("/rentals")) {
      return rent(Http.JSON.readTree(body));
    }
    return list(path);
  }

  private synchronized Http.Answer rent(JsonNode request) {
    String name = request.get("hire").asText();
    if (answers.containsKey(name)) {
      return new Http.Answer(200, answers.get(name));
    }
    String yard = request.get("yard").asText();
    long there =
        machines.values().stream().filter(m -> m.goneAt == 0 && m.yard.equals(yard)).count();
    int count = (int) Math.min(request.get("how_many").asInt(), perZone - there);
    if (count <= 0) {
      return new Http.Answer(503, "{\"error\":\"no capacity\"}");
    }
    ObjectNode answer = Http.JSON.createObjectNode();
    ArrayNode hosts = answer.putArray("hosts");
    for (int i = 0; i < count; i++) {
      Machine machine = add(yard, request.get("loaner").asBoolean());
      hosts.add(machine.ref);
      long ms = (long) (1000 * bootS * (0.8 + 0.4 * Math.random()));
      long gap = i * bootGapMs;
      Http.THREADS.execute(
          () -> {
            Http.sleep(ms);
            while (slowBoots) {
              Http.sleep(10);
            }
            Http.sleep(gap);
            try {
              boot(machine);
            } catch (Exception e) {
              throw new IllegalStateException(e);
            }
          });
    }
    cluster.record.line("cloud: " + name + " rented " + hosts + " in " + yard);
    answers.put(name, answer.toString());
    return new Http.Answer(200, answer.toString());
  }

  /** Takes a machine back. */
  synchronized void take(String ref) {
    Machine machine = machines.get(ref);
    if (machine != null && machine.goneAt == 0) {
      machine.goneAt = now();
      cluster.record.line("cloud: " + ref + " gone");
      if (machine.worker != null) {
        machine.worker.remove();
      }
    }
  }

  private synchronized Http.Answer delete(JsonNode request) {
    request.path("hosts").forEach(host -> take(host.asText()));
    return new Http.Answer(200, "{}");
  }

  private synchronized Http.Answer list(String path) {
    String from = "";
    int limit = 500;
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      if (part.startsWith("from=")) {
        from = part.substring(5);
      } else if (part.startsWith("limit=")) {
        limit = Integer.parseInt(part.substring(6));
      }
    }
    ObjectNode answer = Http.JSON.createObjectNode();
    ArrayNode hosts = answer.putArray("hosts");
    boolean more = false;
    for (Machine machine : machines.tailMap(from, false).values()) {
      boolean listed =
          machine.listedFrom <= now()
              && (machine.goneAt == 0 || machine.goneAt + listLagMs > now());
      if (listed && hosts.size() == limit) {
        more = true;
      } else if (listed) {
        ObjectNode item = hosts.addObject();
        item.put("ref", machine.ref);
        item.put("addr", machine.worker == null ? "127.0.0.1:1" : machine.worker.address());
        item.put("build", "pampa-16");
        item.put("yard", machine.yard);
        item.put("loaner", machine.loaner);
        item.put("phase", machine.worker == null ? "booting" : "running");
        item.put("held_s", (System.nanoTime() - machine.rentedAt) / 1e9);
      }
    }
    answer.put("more", more);
    return new Http.Answer(200, answer.toString());
  }
}
