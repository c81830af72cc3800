import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Controllers as real processes, with the stand-ins around them. */
final class Cluster {
  /** A job as its user submits it. */
  static final class Job {
    String ref;
    int pieces = 1;
    double cpus = 2;
    double ramGb = 2;
    String bundle = "img-01";
    double pullGb = 0.1;
    String urgency = "urgent";
    String crew = "guardia-nocturna";
    String yard;
    double snapshotS;
    double flushS;
    long runMs = 3000;
    double guessS = 3;
    double dueS = 600;
    List<String> awaits = List.of();
    volatile double cancelledAt;

    /** Ends the job's running tasks before their time. */
    volatile boolean finish;

    String body() {
      ObjectNode node = Http.JSON.createObjectNode();
      node.put("ref", ref).put("lane", "limit-refresh").put("crew", crew);
      node.put("shape", "batch").put("urgency", urgency).put("pieces", pieces);
      node.put("cpus", cpus).put("cards", 0.0).put("ram_gb", ramGb);
      node.put("bundle", bundle).put("pull_gb", pullGb).putNull("builds");
      node.put("yard", yard).put("same_place", false).put("spread", false).put("loaner", true);
      node.put("guess_s", guessS).put("snapshot_s", snapshotS).put("flush_s", flushS);
      if (dueS > 0) {
        node.put("due_s", dueS);
      } else {
        node.putNull("due_s");
      }
      if (!awaits.isEmpty()) {
        awaits.forEach(node.putArray("awaits")::add);
      }
      return node.toString();
    }
  }

  static final String[] ZONES = {"mvd-centro", "salto-norte", "mvd-centro"};
  final Record record;
  final Store store;
  final Cloud cloud;
  final long reportMs = 2000;
  final long leaseMs = 12_000;
  final double cancelS = 32;
  volatile Worker.Trouble workerTrouble = new Worker.Trouble() {};
  private final int count = 3;
  private final int[] publicPorts = new int[count];
  private final int[] peerPorts = new int[count];
  private final int[] storePorts = new int[count];
  private int cloudPort;
  private final Process[] processes = new Process[count];
  private final Path root;
  private final Path folder;
  private final Map<String, Job> jobs = new ConcurrentHashMap<>();
  private final Set<String> donePieces = ConcurrentHashMap.newKeySet();
  private final Map<String, Map<String, Long>> onMachines = new HashMap<>();
  private final Random random = new Random(7);
  volatile int started;

  /** More of the settings, such as the limits that the state service will have. */
  String moreSettings = "";

  Cluster(Path root, Path caseFolder, int machinesPerZone) throws Exception {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
    System.setProperty("http.maxConnections", "50");
    System.setProperty("sun.net.http.retryPost", "false");
    this.root = root;
    this.folder = Files.createTempDirectory("review");
    this.record = new Record(caseFolder);
    this.store = new Store(record, 200, 40, 12, 16 * 1024);
    this.cloud = new Cloud(this, machinesPerZone, 4000);
    for (int i = 0; i < count; i++) {
      publicPorts[i] = Http.freePort();
      peerPorts[i] = Http.freePort();
      int node = i;
      storePorts[i] =
          Http.serve(0, (method, path, body) -> store.handle(node, method, path, body))
              .getAddress()
              .getPort();
    }
    cloudPort = Http.serve(0, cloud::handle).getAddress().getPort();
    Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
  }

  int nodes() {
    return count;
  }

  static String label(int node) {
    return "stancia-" + node;
  }

  int indexOf(String label) {
    for (int i = 0; i < count; i++) {
      if (label(i).equals(label)) {
        return i;
      }
    }
    return -1;
  }

  int publicPort(int node) {
    return publicPorts[node];
  }

  private String settings(int node) {
    StringBuilder toml = new StringBuilder();
    toml.append("label = \"" + label(node) + "\"\nlocation = \"" + ZONES[node] + "\"\n");
    toml.append("public_addr = \"127.0.0.1:" + publicPorts[node] + "\"\n");
    toml.append("peer_bind = \"127.0.0.1:" + peerPorts[node] + "\"\n");
    for (int i = 0; i < count; i++) {
      if (i != node) {
        toml.append("[[members]]\nlabel = \"" + label(i) + "\"\nlocation = \"" + ZONES[i] + "\"\n");
        toml.append("address = \"127.0.0.1:" + peerPorts[i] + "\"\n");
      }
    }
    toml.append("[services]\ncloud = \"127.0.0.1:" + cloudPort + "\"\n");
    toml.append("state = \"127.0.0.1:" + storePorts[node] + "\"\n");
    toml.append("[cluster]\nsize = 3\nzones = [\"mvd-centro\", \"salto-norte\"]\n");
    toml.append("clock_off_ms = 5.0\n");
    String[][] teams = {
      {"guardia-nocturna", "160.0", "456.0"},
      {"riesgo", "80.0", "264.0"},
      {"conciliacion", "128.0", "264.0"}
    };
    for (String[] team : teams) {
      toml.append("[[cluster.teams]]\nname = \"" + team[0] + "\"\ncpus = " + team[1]);
      toml.append("\ncpus_max = " + team[2] + "\ngpus = 0.0\ngpus_max = 0.0\n");
    }
    toml.append("[[cluster.objectives]]\nkind = \"deadline\"\nclass = \"limit-refresh\"\n");
    toml.append("share = 0.96\ntimes = 1.0\n");
    toml.append("[cluster.workers]\nreport_s = 2.0\nlease_s = 12.0\ngang_wait_s = 30.0\n");
    toml.append("gang_peer_s = 4.0\ncancel_s = 32.0\n");
    toml.append("[cluster.state]\nrps = 200.0\nwrite_rps = 40.0\nvalue_kb = 16.0\ntxn_ops = 12\n");
    toml.append(moreSettings);
    toml.append("[cluster.cloud]\nrps = 8.0\nlist_lag_s = 4.0\n");
    toml.append("[cluster.limits]\ncpu = 0.44\nram_mb = 205.0\nfd_limit = 1500\n");
    return toml.toString();
  }

  void startNode(int node) throws IOException {
    Path file = folder.resolve(label(node) + ".toml");
    Files.writeString(file, settings(node));
    String run = "";
    for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
      if (line.startsWith("run")) {
        run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    List<String> command = new ArrayList<>(List.of(run.split(" +")));
    command.add(file.toString());
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("NODE_LOG", "info"));
    builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
    builder.redirectError(
        ProcessBuilder.Redirect.appendTo(folder.resolve(label(node) + ".log").toFile()));
    processes[node] = builder.start();
    record.line(label(node) + " started, pid " + processes[node].pid());
  }

  void killNode(int node) throws InterruptedException {
    processes[node].destroyForcibly().waitFor();
    record.line(label(node) + " killed");
  }

  /** Stops (true) or continues a node that this test started. */
  void pauseNode(int node, boolean stop) throws Exception {
    new ProcessBuilder("kill", stop ? "-STOP" : "-CONT", "" + processes[node].pid())
        .start()
        .waitFor();
    record.line(label(node) + (stop ? " stands still" : " goes on"));
  }

  boolean alive(int node) {
    return processes[node] != null && processes[node].isAlive();
  }

  boolean ready(int node) {
    return Http.call(publicPorts[node], "GET", "/ready", null, 1000).status() == 200;
  }

  boolean awaitReady(int node, double seconds) {
    double until = Record.seconds() + seconds;
    while (Record.seconds() < until) {
      if (ready(node)) {
        record.line(label(node) + " ready");
        return true;
      }
      Http.sleep(100);
    }
    return false;
  }

  int leader() {
    JsonNode value = store.value("c/leader");
    return value == null ? -1 : indexOf(value.path("node").asText());
  }

  Map<String, String> owners() {
    Map<String, String> owners = new HashMap<>();
    store.values("c/g/").forEach((key, value) -> owners.put(key, value.path("holder").asText()));
    return owners;
  }

  void stop() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    if (System.getenv("KEEP_LOGS") == null) {
      try (var files = Files.list(folder)) {
        files.forEach(file -> file.toFile().delete());
        Files.deleteIfExists(folder);
      } catch (IOException e) {
        // Left to the system's cleaning of temporary files.
      }
    } else {
      System.err.println("logs in " + folder);
    }
  }

  // Jobs and tasks.

  Job job(String piece) {
    int slash = piece.indexOf('/');
    return jobs.get(slash < 0 ? piece : piece.substring(0, slash));
  }

  /** Submits a job through some node, and repeats that as the pages say. */
  boolean submit(Job job) {
    jobs.put(job.ref, job);
    double until = Record.seconds() + 60;
    while (Record.seconds() < until) {
      int node = random.nextInt(count);
      Http.Answer answer = Http.call(publicPorts[node], "POST", "/v2/runs", job.body(), 5000);
      if (answer.status() == 201 || answer.status() == 200) {
        record.line("user: " + job.ref + " accepted by " + label(node) + " " + answer.status());
        return true;
      }
      record.line("user: " + job.ref + " at " + label(node) + " got " + answer.status());
      if (answer.status() == 400 || answer.status() == 422) {
        return false;
      }
      Http.sleep(1000);
    }
    return false;
  }

  Http.Answer poll(int node, String ref) {
    return Http.call(publicPorts[node], "GET", "/v2/runs/" + ref, null, 2000);
  }

  Http.Answer withdraw(int node, String ref) {
    Http.Answer answer =
        Http.call(publicPorts[node], "POST", "/v2/runs/" + ref + "/withdraw", "{}", 5000);
    record.line(
        "user: withdraw " + ref + " at " + label(node) + " " + answer.status() + answer.body());
    return answer;
  }

  boolean isDone(String piece) {
    return donePieces.contains(piece);
  }

  void done(String piece) {
    donePieces.add(piece);
  }

  int doneCount() {
    return donePieces.size();
  }

  /** A task has its image: from now on it is on the machine. */
  synchronized void entered(String piece, long attempt, String host) {
    Map<String, Long> hosts = onMachines.computeIfAbsent(piece, key -> new HashMap<>());
    record.line(host + " starts " + piece + "#" + attempt);
    started++;
    if (!hosts.isEmpty()) {
      record.broken(
          "ran_twice", piece + "#" + attempt + " starts on " + host + " while on " + hosts);
    }
    hosts.put(host, attempt);
    Job job = job(piece);
    if (job.cancelledAt > 0 && Record.seconds() > job.cancelledAt + cancelS) {
      record.broken("ran_cancelled", piece + "#" + attempt + " starts on " + host);
    }
  }

  synchronized void left(String piece, long attempt, String host, String why) {
    record.line(host + " ends " + piece + "#" + attempt + " " + why);
    onMachines.getOrDefault(piece, new HashMap<>()).remove(host);
  }

  /** The machine that the task is on; empty if it is on none. */
  synchronized String machineOf(String piece) {
    return onMachines.getOrDefault(piece, Map.of()).keySet().stream().findFirst().orElse("");
  }

  synchronized boolean isOnMachine(String piece) {
    return !onMachines.getOrDefault(piece, Map.of()).isEmpty();
  }
}
