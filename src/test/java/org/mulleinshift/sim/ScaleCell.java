package org.mulleinshift.sim;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import java.util.function.Supplier;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;

/**
 * One cell of a scale run: real controllers, and stand-ins of its state service, cloud, users and
 * workers on addresses of the loopback range.
 */
final class ScaleCell {
  private static final String TYPE = "hollow";
  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  private static final double RAM_GB = 1000;
  private static final double BOOT_SECONDS = 15;
  private static final double LIST_LAG_SECONDS = 4;
  private static final double RESTART_SECONDS = 3;
  private static final double UP_WITHIN_SECONDS = 3;
  private static final double SPARE_CAPACITY = 1.1;
  private static final double LIMIT_TO_FAIR_SHARE = 4;

  /** A team's limit takes so many of the larger jobs at a time. */
  private static final int JOBS_WITHIN_LIMIT = 4;

  private static final Duration ANSWER = Duration.ofSeconds(5);
  private static final int STATE_PORT = 2379;
  private static final int CLOUD_PORT = 8443;
  private static final int USERS_PORT = 8080;
  private static final int PEERS_PORT = 8081;
  private static final int STATE_HOST = 101;
  private static final int CLOUD_HOST = 102;

  /** Workers' addresses have this and higher numbers in their third place. */
  private static final int FIRST_WORKER_NET = 16;

  private static final int WORKERS_PER_NET = 250;
  private static final int NETS = 240;

  /** What the cells of a process share. */
  record Shared(
      ScaleOptions options,
      int network,
      Path folder,
      EventLoopGroup threads,
      HttpClient users,
      TeamUse teamUse,
      ScaleMeasures measures) {}

  private final Shared shared;
  private final ScaleOptions options;
  private final int number;
  private final RealTimeWorld stateWorld;
  private final RealTimeWorld world;
  private final SimState state;
  private final SimCloud cloud;
  private final RuleBook rules;
  private final ByteCounter stateBytes = new ByteCounter();
  private final ByteCounter workerBytes = new ByteCounter();
  private final ByteCounter cloudBytes = new ByteCounter();
  private final List<HttpListener> listeners = new ArrayList<>();
  private final List<ControllerProcess> controllers = new ArrayList<>();
  private final Map<String, SimWorker> byAddress = new ConcurrentHashMap<>();
  private final Map<SimWorker, HttpConnection> connections = new ConcurrentHashMap<>();
  private final int workers;
  private int stateRequests;
  private double lastStartAt;
  private double longestGap;

  ScaleCell(Shared shared, int number) {
    this.shared = shared;
    this.options = shared.options();
    this.number = number;
    this.workers = options.workers / options.cells;
    long seed = options.seed * 1000 + number;
    this.stateWorld = new RealTimeWorld("state-" + number, seed);
    this.world = new RealTimeWorld("workers-" + number, seed + 500);
    this.state =
        new SimState(
            stateWorld,
            (int) (options.valueKb * 1024),
            12,
            options.stateRequests / options.cells,
            options.stateWrites / options.cells);
    this.rules = new RuleBook(world, limits(), options.cancelSeconds, shared.teamUse());
    this.rules.onStart(this::onStart);
    this.rules.onNews(job -> shared.measures().news(job));
    this.cloud = new SimCloud(world, LIST_LAG_SECONDS, this::startWorker);
  }

  private void onStart(RuleBook.TrueJob job) {
    shared.measures().started(job, world.seconds());
    longestGap = Math.max(longestGap, world.seconds() - lastStartAt);
    lastStartAt = world.seconds();
  }

  /** Tells the longest time without any start in the seconds that come. */
  void watchGap(double seconds, DoubleConsumer listener) {
    world.post(
        () -> {
          longestGap = 0;
          world.after(
              seconds, () -> listener.accept(Math.max(longestGap, world.seconds() - lastStartAt)));
        });
  }

  /** Runs a step on the cell's world and waits for its end. */
  void inWorld(Runnable step) {
    ask(
        world,
        () -> {
          step.run();
          return true;
        });
  }

  /** What only the thread of a world may read. */
  private static <T> T ask(RealTimeWorld owner, Supplier<T> question) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    owner.post(
        () -> {
          try {
            answer.complete(question.get());
          } catch (RuntimeException e) {
            answer.completeExceptionally(e);
          }
        });
    return answer.join();
  }

  /** Limits of the teams over the cells of this process. */
  private Map<String, Double> limits() {
    Map<String, Double> limits = new HashMap<>();
    for (int i = 0; i < options.teams; i++) {
      limits.put(ScaleWorkload.team(i), options.cellsHere() * limitOfCell());
    }
    return limits;
  }

  /** A cell's part of each team's limit: a fixed share, so that no two cells need agree. */
  private double limitOfCell() {
    if (options.teamLimit > 0) {
      return options.teamLimit;
    }
    double fair = workers * options.workerCpus / options.teams;
    return Math.max(JOBS_WITHIN_LIMIT * options.batchTasks, Math.ceil(LIMIT_TO_FAIR_SHARE * fair));
  }

  void start() throws IOException {
    listen(stateAddress(), stateBytes, this::onState);
    listen(cloudAddress(), cloudBytes, this::onCloud);
    HttpListener orders = listen(new InetSocketAddress(0), workerBytes, this::onOrders);
    int port = orders.address().getPort();
    cloud.addresses(index -> workerHost(index) + ":" + port);
    cloud.add(new SimCloud.Type(TYPE, options.workerCpus, RAM_GB, 1, 0.4, BOOT_SECONDS));
    for (int i = 0; i < options.controllers; i++) {
      Path settings = shared.folder().resolve("settings-" + number + "-" + i + ".toml");
      Files.writeString(settings, settings(i));
      controllers.add(
          new ControllerProcess(
              label(i), controllerAddress(i, USERS_PORT), options, settings, shared.folder()));
    }
    stateWorld.start();
    world.start();
    controllers.forEach(ControllerProcess::start);
    world.post(this::bootWorkers);
    world.post(this::probe);
  }

  private void bootWorkers() {
    for (int i = 0; i < ZONES.size(); i++) {
      int share = (int) Math.ceil(SPARE_CAPACITY * workers / ZONES.size());
      cloud.capacity(TYPE, ZONES.get(i), false, share);
    }
    for (int i = 0; i < workers; i++) {
      cloud.boot(
          cloud.type(TYPE), ZONES.get(i % ZONES.size()), false, UP_WITHIN_SECONDS * world.random());
    }
  }

  private HttpListener listen(
      InetSocketAddress address, ByteCounter counter, HttpListener.Handler handler) {
    HttpListener listener = new HttpListener(shared.threads(), address, counter, handler);
    listeners.add(listener);
    return listener;
  }

  /** Starts the users; they submit until that time of this cell's clock. */
  void submitUntil(double seconds) {
    world.post(
        () -> new ScaleWorkload(world, rules, this::askUsers, options, number).start(seconds));
  }

  private void onState(InetSocketAddress local, HttpRequest request, Consumer<HttpResponse> reply) {
    stateWorld.post(
        () -> {
          stateRequests++;
          stateWorld.after(options.stateMillis / 1000, () -> state.handle("", request, reply));
        });
  }

  private void onCloud(InetSocketAddress local, HttpRequest request, Consumer<HttpResponse> reply) {
    world.post(() -> cloud.handle(request, reply));
  }

  private void onOrders(
      InetSocketAddress local, HttpRequest request, Consumer<HttpResponse> reply) {
    SimWorker worker = byAddress.get(local.getAddress().getHostAddress() + ":" + local.getPort());
    if (worker != null) {
      world.post(() -> worker.direct(request, reply));
    }
  }

  private SimWorker startWorker(SimCloud.Machine machine) {
    SimWorker worker =
        new SimWorker(
            world, rules, new Way(), machine, options.reportSeconds, options.leaseSeconds);
    connections.put(worker, new HttpConnection(shared.threads(), workerBytes));
    byAddress.put(machine.address, worker);
    return worker;
  }

  /** Workers' way to the controllers. */
  private final class Way implements SimWorker.Nodes {
    @Override
    public int count() {
      return controllers.size();
    }

    @Override
    public int indexOf(String label) {
      for (int i = 0; i < controllers.size(); i++) {
        if (controllers.get(i).label().equals(label)) {
          return i;
        }
      }
      return -1;
    }

    @Override
    public void checkin(SimWorker worker, int node, String body, Consumer<HttpResponse> reply) {
      connections
          .get(worker)
          .ask(
              controllers.get(node).address(),
              "POST",
              "/checkin",
              body,
              answer -> world.post(() -> reply.accept(answer)));
    }
  }

  private void askUsers(String method, String path, String body, Consumer<HttpResponse> reply) {
    List<ControllerProcess> ready = controllers.stream().filter(ControllerProcess::ready).toList();
    if (ready.isEmpty()) {
      reply.accept(HttpResponse.NO_RESPONSE);
      return;
    }
    ControllerProcess chosen = ready.get((int) (world.random() * ready.size()));
    call(chosen, method, path, body, answer -> world.post(() -> reply.accept(answer)));
  }

  private void call(
      ControllerProcess node,
      String method,
      String path,
      String body,
      Consumer<HttpResponse> reply) {
    URI uri =
        URI.create(
            "http://" + node.address().getHostString() + ":" + node.address().getPort() + path);
    java.net.http.HttpRequest request =
        java.net.http.HttpRequest.newBuilder(uri)
            .timeout(ANSWER)
            .method(method, java.net.http.HttpRequest.BodyPublishers.ofString(body))
            .build();
    CompletableFuture<?> unused =
        shared
            .users()
            .sendAsync(request, BodyHandlers.ofString())
            .whenComplete(
                (answer, failure) ->
                    reply.accept(
                        failure != null
                            ? HttpResponse.NO_RESPONSE
                            : new HttpResponse(answer.statusCode(), answer.body())));
  }

  /** What a load balancer does: asks each controller every second whether it is ready. */
  private void probe() {
    world.after(1, this::probe);
    for (ControllerProcess node : controllers) {
      call(node, "GET", "/ready", "", answer -> node.ready(answer.status() == 200));
    }
  }

  /** Whether all controllers answer users. */
  boolean ready() {
    return controllers.stream().allMatch(ControllerProcess::ready);
  }

  /** Plays a trouble; the last argument is its number, or 0 if none is given. */
  void trouble(String kind, double amount) {
    switch (kind) {
      case "kill-leader" -> kill(leader());
      case "kill-controller" -> kill(controllers.get((int) amount));
      case "kill-workers" ->
          world.post(() -> some((int) amount).forEach(machine -> cloud.remove(machine)));
      case "restart-workers" ->
          world.post(() -> some((int) amount).forEach(machine -> machine.worker.reboot()));
      case "zone-dark" -> world.post(() -> darken(ZONES.get(0), amount));
      case "state-out" -> stateWorld.post(() -> state.outage(amount));
      default -> throw new IllegalArgumentException("no such trouble: " + kind);
    }
  }

  private List<SimCloud.Machine> some(int count) {
    List<SimCloud.Machine> up = new ArrayList<>(cloud.up());
    java.util.Collections.shuffle(up, new java.util.Random(options.seed));
    return up.subList(0, Math.min(count, up.size()));
  }

  private void darken(String zone, double seconds) {
    for (SimCloud.Machine machine : cloud.up()) {
      if (machine.zone.equals(zone)) {
        machine.worker.hang(seconds);
      }
    }
  }

  private void kill(ControllerProcess node) {
    node.kill();
    world.post(() -> world.after(RESTART_SECONDS, node::start));
  }

  private ControllerProcess leader() {
    JsonNode value = ask(stateWorld, () -> state.dump().get("c/leader"));
    String label = value == null ? "" : value.path("node").asText();
    return controllers.stream()
        .filter(node -> node.label().equals(label))
        .findFirst()
        .orElse(controllers.get(0));
  }

  /** Which controller led last. */
  String leaderLabel() {
    return leader().label();
  }

  List<ControllerProcess> controllers() {
    return controllers;
  }

  RuleBook rules() {
    return rules;
  }

  RealTimeWorld world() {
    return world;
  }

  RealTimeWorld stateWorld() {
    return stateWorld;
  }

  /** Figures of the stand-ins now. */
  ScaleMeasures.StandIns standIns() {
    return new ScaleMeasures.StandIns(
        stateRequests,
        state.writes(),
        state.refused(),
        stateBytes.bytes(),
        workerBytes.bytes(),
        workerBytes.open(),
        cloudBytes.bytes(),
        world.processorNanos() / 1e9,
        stateWorld.processorNanos() / 1e9,
        ask(world, () -> cloud.up().size()));
  }

  void killControllers() {
    controllers.stream().filter(ControllerProcess::alive).forEach(ControllerProcess::kill);
  }

  /** Ends all that this cell started. */
  void stop() {
    killControllers();
    world.stop();
    stateWorld.stop();
    listeners.forEach(HttpListener::close);
    connections.values().forEach(HttpConnection::close);
  }

  private String label(int index) {
    return "cell" + number + "-" + index;
  }

  private String host(int last) {
    return "127." + shared.network() + "." + number + "." + last;
  }

  private InetSocketAddress controllerAddress(int index, int port) {
    return new InetSocketAddress(host(index + 1), port);
  }

  private InetSocketAddress stateAddress() {
    return new InetSocketAddress(host(STATE_HOST), STATE_PORT);
  }

  private InetSocketAddress cloudAddress() {
    return new InetSocketAddress(host(CLOUD_HOST), CLOUD_PORT);
  }

  /** Each cell has its own port, so the same addresses serve all of them. */
  private String workerHost(int index) {
    int net = FIRST_WORKER_NET + index / WORKERS_PER_NET % NETS;
    return "127." + shared.network() + "." + net + "." + (index % WORKERS_PER_NET + 1);
  }

  private static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  private String settings(int index) {
    StringBuilder toml = new StringBuilder();
    toml.append("label = \"").append(label(index)).append("\"\n");
    toml.append("location = \"").append(ZONES.get(index % ZONES.size())).append("\"\n");
    toml.append("public_addr = \"").append(text(controllerAddress(index, USERS_PORT)));
    toml.append("\"\npeer_bind = \"").append(text(controllerAddress(index, PEERS_PORT)));
    toml.append("\"\n");
    for (int i = 0; i < options.controllers; i++) {
      if (i != index) {
        toml.append("[[members]]\nlabel = \"").append(label(i)).append("\"\nlocation = \"");
        toml.append(ZONES.get(i % ZONES.size())).append("\"\naddress = \"");
        toml.append(text(controllerAddress(i, PEERS_PORT))).append("\"\n");
      }
    }
    toml.append("[services]\ncloud = \"").append(text(cloudAddress()));
    toml.append("\"\nstate = \"").append(text(stateAddress())).append("\"\n");
    toml.append("[cluster]\nsize = ").append(options.controllers);
    toml.append("\nzones = [\"").append(String.join("\", \"", ZONES)).append("\"]\n");
    toml.append("clock_off_ms = 5.0\n");
    double limit = limitOfCell();
    for (int i = 0; i < options.teams; i++) {
      toml.append("[[cluster.teams]]\nname = \"").append(ScaleWorkload.team(i));
      toml.append("\"\ncpus = ").append(limit / LIMIT_TO_FAIR_SHARE / 2);
      toml.append("\ncpus_max = ").append(limit * options.wrongLimits).append('\n');
    }
    toml.append("[[cluster.objectives]]\nkind = \"wait\"\nclass = \"urgent\"\n");
    toml.append("within_s = 1.2\nshare = 0.99\n");
    toml.append("[cluster.workers]\nreport_s = ").append(options.reportSeconds);
    toml.append("\nlease_s = ").append(options.leaseSeconds);
    toml.append("\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = ");
    toml.append(options.cancelSeconds).append("\n[cluster.state]\nrps = ");
    toml.append(options.stateRequests / options.cells).append("\nwrite_rps = ");
    toml.append(options.stateWrites / options.cells).append("\nvalue_kb = ");
    toml.append(options.valueKb).append("\ntxn_ops = 12\n[cluster.cloud]\nrps = 15.0\n");
    toml.append("list_lag_s = ").append(LIST_LAG_SECONDS).append('\n');
    toml.append("[cluster.limits]\ncpu = 1.0\nram_mb = 1000.0\nfd_limit = 16000\n");
    return toml.toString();
  }
}
