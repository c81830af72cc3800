import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A small deployment: the project's controllers as processes, and the stand-ins around them. */
final class Cluster implements AutoCloseable {
  /** Limits and times as in the site files. */
  static final class Options {
    int nodes = 3;
    double reportSeconds = 2;
    double leaseSeconds = 12;
    double cancelSeconds = 32;
    double rps = 200;
    double writeRps = 40;
    double valueKb = 16;
    int txnOps = 12;
    String stateNext = "";
    int capacity = 28;
    List<String> zones = List.of("mvd-centro", "salto-norte");
    String team = "guardia-nocturna";
    double teamCpus = 160;
    double teamCpusMax = 456;
    String jobClass = "settlement-batch";
    String build = "pampa-16";
    int buildCpus = 16;
    int buildRamGb = 128;
    double listLagSeconds = 4;
    double cloudRps = 8;
    double cpuShare = 0.44;
    double ramMb = 205;
    int sockets = 1500;

    /** The deployment cardovia-mvd. */
    static Options cardovia() {
      return new Options();
    }

    /** The deployment nms-radar-sofia, with the five controllers of the page on which it grew. */
    static Options sofia() {
      Options options = new Options();
      options.nodes = 5;
      options.rps = 80;
      options.writeRps = 25;
      options.valueKb = 8;
      options.reportSeconds = 3;
      options.leaseSeconds = 18;
      options.cancelSeconds = 43;
      options.zones = List.of("plovdiv", "sofia-a");
      options.team = "radar-mrezha";
      options.teamCpus = 0;
      options.teamCpusMax = 0;
      options.jobClass = "tile-render";
      options.build = "vitosha-8";
      options.buildCpus = 8;
      options.buildRamGb = 32;
      options.capacity = 40;
      options.listLagSeconds = 8;
      options.cloudRps = 6;
      options.cpuShare = 0.176;
      options.ramMb = 176;
      options.sockets = 700;
      return options;
    }
  }

  final Options options;
  final Record record;
  final Jobs jobs;
  final Store store;
  final Cloud cloud;
  final double reportSeconds;
  final double leaseSeconds;
  private final Path root = Path.of("").toAbsolutePath();
  private final Path folder;
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4);
  private final List<Integer> publicPorts = new ArrayList<>();
  private final List<Integer> peerPorts = new ArrayList<>();

  /** The sockets that keep the nodes' ports free until their first start. */
  private final List<List<ServerSocket>> reserved = new ArrayList<>();

  private final Process[] processes;
  private final List<String> command;

  /** Whether a process that was not told to has ended. */
  volatile int endedByThemselves;

  Cluster(Options options, Path recordFile) throws IOException {
    this.options = options;
    this.record = new Record(recordFile);
    this.jobs = new Jobs(record);
    this.reportSeconds = options.reportSeconds;
    this.leaseSeconds = options.leaseSeconds;
    this.folder = Files.createTempDirectory("review-case");
    this.store =
        new Store(
            record, options.nodes, options.rps, options.writeRps, options.valueKb, options.txnOps);
    this.cloud = new Cloud(this, timers, options.capacity);
    this.processes = new Process[options.nodes];
    for (int i = 0; i < options.nodes; i++) {
      ServerSocket forUsers = Http.reservePort();
      ServerSocket forPeers = Http.reservePort();
      publicPorts.add(forUsers.getLocalPort());
      peerPorts.add(forPeers.getLocalPort());
      reserved.add(List.of(forUsers, forPeers));
    }
    this.command = runCommand();
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  private List<String> runCommand() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
      if (line.startsWith("run")) {
        String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return List.of(text.split(" "));
      }
    }
    throw new IOException("no run command");
  }

  int size() {
    return options.nodes;
  }

  String name(int node) {
    return "stancia-" + node;
  }

  int nodeNamed(String name) {
    for (int i = 0; i < options.nodes; i++) {
      if (name(i).equals(name)) {
        return i;
      }
    }
    return -1;
  }

  int publicPort(int node) {
    return publicPorts.get(node);
  }

  private String zone(int node) {
    return options.zones.get(node % options.zones.size());
  }

  private Path settings(int node) throws IOException {
    StringBuilder out = new StringBuilder();
    out.append("label = \"").append(name(node)).append("\"\n");
    out.append("location = \"").append(zone(node)).append("\"\n");
    out.append("public_addr = \"127.0.0.1:").append(publicPorts.get(node)).append("\"\n");
    out.append("peer_bind = \"127.0.0.1:").append(peerPorts.get(node)).append("\"\n\n");
    for (int peer = 0; peer < options.nodes; peer++) {
      if (peer != node) {
        out.append("[[members]]\nlabel = \"").append(name(peer)).append("\"\n");
        out.append("location = \"").append(zone(peer)).append("\"\n");
        out.append("address = \"127.0.0.1:").append(peerPorts.get(peer)).append("\"\n\n");
      }
    }
    out.append("[services]\ncloud = \"127.0.0.1:").append(cloud.port()).append("\"\n");
    out.append("state = \"127.0.0.1:").append(store.port(node)).append("\"\n\n");
    out.append("[cluster]\nsize = ").append(options.nodes).append("\n");
    out.append("zones = [\"").append(String.join("\", \"", options.zones));
    out.append("\"]\nclock_off_ms = 5.0\n\n");
    out.append("[[cluster.teams]]\nname = \"").append(options.team).append("\"\ncpus = ");
    out.append(options.teamCpus).append("\ncpus_max = ").append(options.teamCpusMax);
    out.append("\ngpus = 0.0\ngpus_max = 0.0\n\n");
    out.append("[[cluster.objectives]]\nkind = \"deadline\"\nclass = \"");
    out.append(options.jobClass).append("\"\nshare = 0.85\ntimes = 1.0\n\n");
    out.append("[cluster.workers]\nreport_s = ").append(options.reportSeconds);
    out.append("\nlease_s = ").append(options.leaseSeconds);
    out.append("\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = ");
    out.append(options.cancelSeconds).append("\n\n[cluster.state]\nrps = ").append(options.rps);
    out.append("\nwrite_rps = ").append(options.writeRps);
    out.append("\nvalue_kb = ").append(options.valueKb);
    out.append("\ntxn_ops = ").append(options.txnOps).append("\n").append(options.stateNext);
    out.append("\n[cluster.cloud]\nrps = ").append(options.cloudRps);
    out.append("\nlist_lag_s = ").append(options.listLagSeconds);
    out.append("\n\n[cluster.limits]\ncpu = ").append(options.cpuShare);
    out.append("\nram_mb = ").append(options.ramMb);
    out.append("\nfd_limit = ").append(options.sockets).append("\n");
    Path file = folder.resolve("settings-" + node + ".toml");
    Files.writeString(file, out.toString());
    return file;
  }

  void start(int node) throws IOException {
    List<String> line = new ArrayList<>(command);
    line.add(settings(node).toString());
    ProcessBuilder builder = new ProcessBuilder(line).directory(root.toFile());
    builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
    builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
    for (ServerSocket socket : reserved.get(node)) {
      socket.close();
    }
    File log = folder.resolve(name(node) + ".log").toFile();
    builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
    Process process = builder.start();
    processes[node] = process;
    record.add("process: %s started", name(node));
    process
        .onExit()
        .thenAccept(
            ended -> {
              if (processes[node] == ended) {
                endedByThemselves++;
                record.add("process: %s ended by itself, exit %d", name(node), ended.exitValue());
              }
            });
  }

  void startAll() throws IOException {
    for (int i = 0; i < options.nodes; i++) {
      start(i);
    }
  }

  /** Kills a process without a signal that it could handle. */
  void kill(int node) throws InterruptedException {
    Process process = processes[node];
    processes[node] = null;
    if (process != null) {
      record.add("process: %s killed", name(node));
      process.destroyForcibly().waitFor();
    }
  }

  void signal(int node, String signal) throws IOException, InterruptedException {
    record.add("process: %s signal %s", name(node), signal);
    new ProcessBuilder("kill", "-" + signal, Long.toString(processes[node].pid()))
        .start()
        .waitFor();
  }

  long pid(int node) {
    return processes[node].pid();
  }

  boolean isReady(int node) {
    Http.Client client = new Http.Client(publicPort(node));
    try {
      return client.call("GET", "/ready", null, 1000).status() == 200;
    } catch (IOException e) {
      return false;
    } finally {
      client.close();
    }
  }

  void awaitReady(double seconds) throws InterruptedException {
    double end = record.now() + seconds;
    for (int i = 0; i < options.nodes; i++) {
      while (!isReady(i)) {
        if (record.now() > end) {
          throw new CannotRun(name(i) + " is not ready");
        }
        Thread.sleep(100);
      }
      record.add("process: %s is ready", name(i));
    }
  }

  /** The node that leads by the state service; -1 if none does. */
  int leader() {
    Store.Entry entry = store.get("c/leader");
    return entry == null ? -1 : nodeNamed((String) ((Map<?, ?>) entry.value()).get("node"));
  }

  Path log(int node) {
    return folder.resolve(name(node) + ".log");
  }

  private void killAll() {
    for (int i = 0; i < processes.length; i++) {
      Process process = processes[i];
      processes[i] = null;
      if (process != null) {
        process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws IOException {
    for (int i = 0; i < processes.length; i++) {
      Process process = processes[i];
      processes[i] = null;
      if (process != null) {
        process.destroyForcibly();
        try {
          process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    timers.shutdownNow();
    cloud.close();
    store.close();
    String keep = System.getenv("KEEP_LOGS");
    if (keep != null) {
      Path to = Files.createDirectories(Path.of(keep));
      for (int i = 0; i < options.nodes; i++) {
        if (Files.exists(log(i))) {
          Files.copy(
              log(i),
              to.resolve(name(i) + ".log"),
              java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
      }
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
