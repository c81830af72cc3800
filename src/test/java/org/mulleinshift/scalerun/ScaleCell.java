package org.mulleinshift.scalerun;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import java.util.function.Supplier;
import org.mulleinshift.invariants.InvariantChecker;
import org.mulleinshift.invariants.ObservedJob;
import org.mulleinshift.invariants.TeamUsage;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.simulation.HeartbeatSender;
import org.mulleinshift.simulation.MachineSpec;
import org.mulleinshift.simulation.SimulatedCloud;
import org.mulleinshift.simulation.SimulatedMachine;
import org.mulleinshift.simulation.SimulatedStore;
import org.mulleinshift.simulation.SimulatedWorker;
import org.mulleinshift.simulation.time.RealTimeline;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;

/**
 * One cell of a scale run: controllers as real processes, and a simulated store, cloud, users and
 * workers on loopback addresses.
 */
final class ScaleCell {
  private static final String MACHINE_TYPE = "hollow";
  private static final double RAM_GB = 1000;
  private static final double PRICE = 1;
  private static final double SPOT_PRICE = 0.4;
  private static final double BOOT_SECONDS = 15;
  private static final double RESTART_SECONDS = 3;
  private static final double INITIAL_BOOT_SPREAD_SECONDS = 3;
  private static final double CAPACITY_FACTOR = 1.1;
  private static final int BYTES_PER_KB = 1024;
  private static final int SEEDS_PER_RUN = 1000;
  private static final int WORKER_SEED_OFFSET = 500;
  private static final double MILLIS_PER_SECOND = 1000;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Objects shared by all cells of a process. */
  record Shared(
      ScaleOptions options,
      int network,
      Path folder,
      EventLoopGroup threads,
      HttpClient userClient,
      TeamUsage teamUsage,
      ScaleMeasures measures) {}

  private final Shared shared;
  private final ScaleOptions options;
  private final int number;
  private final CellAddresses addresses;
  private final CellSettings settings;
  private final RealTimeline storeTimeline;
  private final RealTimeline timeline;
  private final SimulatedStore store;
  private final SimulatedCloud cloud;
  private final InvariantChecker checker;
  private final LoadBalancer loadBalancer;
  private final ByteCounter storeBytes = new ByteCounter();
  private final ByteCounter workerBytes = new ByteCounter();
  private final ByteCounter cloudBytes = new ByteCounter();
  private final List<HttpListener> listeners = new ArrayList<>();
  private final List<ControllerProcess> controllers = new ArrayList<>();

  /** The controller to which all heartbeats are dropped; null if none is. */
  private ControllerProcess unreachable;

  private final Map<String, SimulatedWorker> workersByAddress = new ConcurrentHashMap<>();
  private final Map<SimulatedWorker, HttpConnection> connections = new ConcurrentHashMap<>();
  private int storeRequests;
  private double lastStartAt;
  private double longestGapSeconds;

  ScaleCell(Shared shared, int number) {
    this.shared = shared;
    this.options = shared.options();
    this.number = number;
    this.addresses = new CellAddresses(shared.network(), number);
    this.settings = new CellSettings(options, number, addresses);
    long seed = options.seed * SEEDS_PER_RUN + number;
    this.storeTimeline = new RealTimeline("state-" + number, seed);
    this.timeline = new RealTimeline("workers-" + number, seed + WORKER_SEED_OFFSET);
    this.store = new SimulatedStore(storeTimeline, storeLimits());
    this.checker =
        new InvariantChecker(
            timeline, settings.teamLimits(), options.cancelSeconds, shared.teamUsage());
    this.checker.tasks().onStart(this::onStart);
    this.checker.reportedPhases().onAcceptedOrEnded(job -> shared.measures().recordAcceptance(job));
    this.cloud = new SimulatedCloud(timeline, CellSettings.LISTING_LAG_SECONDS, this::startWorker);
    this.loadBalancer = new LoadBalancer(timeline, shared.userClient(), controllers);
  }

  private PlatformSettings.StoreLimits storeLimits() {
    return new PlatformSettings.StoreLimits(
        settings.storeRequestsPerSecond(),
        settings.storeWritesPerSecond(),
        (int) (options.valueKb * BYTES_PER_KB),
        CellSettings.TRANSACTION_OPERATIONS,
        Optional.empty());
  }

  private void onStart(ObservedJob job) {
    double now = timeline.seconds();
    shared.measures().recordStart(job, now);
    longestGapSeconds = Math.max(longestGapSeconds, now - lastStartAt);
    lastStartAt = now;
  }

  /**
   * Measures the longest time without a task start from now on, and reports it in seconds.
   *
   * @param seconds length of the measurement
   */
  void measureLongestGap(double seconds, DoubleConsumer listener) {
    timeline.post(
        () -> {
          longestGapSeconds = 0;
          timeline.after(
              seconds,
              () -> listener.accept(Math.max(longestGapSeconds, timeline.seconds() - lastStartAt)));
        });
  }

  /** Runs a step on the thread of the cell's timeline and waits until it has finished. */
  void runAndWait(Runnable step) {
    callOn(
        timeline,
        () -> {
          step.run();
          return true;
        });
  }

  /** Returns the result of a call made on the timeline's thread, which owns the state it reads. */
  private static <T> T callOn(RealTimeline owner, Supplier<T> call) {
    CompletableFuture<T> result = new CompletableFuture<>();
    owner.post(
        () -> {
          try {
            result.complete(call.get());
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        });
    return result.join();
  }

  /** Starts the simulated services, the controllers and the workers. */
  void start() throws IOException {
    listen(addresses.store(), storeBytes, this::onStoreRequest);
    listen(addresses.cloud(), cloudBytes, this::onCloudRequest);
    HttpListener commands = listen(new InetSocketAddress(0), workerBytes, this::onWorkerRequest);
    int port = commands.address().getPort();
    cloud.addresses(index -> addresses.workerHost(index) + ":" + port);
    cloud.addMachineType(
        new MachineSpec(MACHINE_TYPE, options.workerCpus, RAM_GB, PRICE, SPOT_PRICE, BOOT_SECONDS));
    for (int i = 0; i < options.controllers; i++) {
      Path file = shared.folder().resolve("settings-" + number + "-" + i + ".toml");
      Files.writeString(file, settings.file(i));
      controllers.add(
          new ControllerProcess(
              settings.label(i), addresses.publicAddress(i), options, file, shared.folder()));
    }
    storeTimeline.start();
    timeline.start();
    controllers.forEach(ControllerProcess::start);
    timeline.post(this::bootWorkers);
    timeline.post(loadBalancer::probe);
  }

  private void bootWorkers() {
    List<String> zones = CellSettings.ZONES;
    int workers = settings.workersPerCell();
    int capacity = (int) Math.ceil(CAPACITY_FACTOR * workers / zones.size());
    zones.forEach(zone -> cloud.onDemandCapacity(MACHINE_TYPE, zone, capacity));
    for (int i = 0; i < workers; i++) {
      double seconds = INITIAL_BOOT_SPREAD_SECONDS * timeline.random();
      cloud.createMachine(cloud.machineType(MACHINE_TYPE), zones.get(i % zones.size()), seconds);
    }
  }

  private HttpListener listen(
      InetSocketAddress address, ByteCounter counter, HttpListener.Handler handler) {
    HttpListener listener = new HttpListener(shared.threads(), address, counter, handler);
    listeners.add(listener);
    return listener;
  }

  /** Starts the users, who submit jobs until the given time of this cell's timeline. */
  void submitUntil(double seconds) {
    timeline.post(
        () -> new ScaleWorkload(timeline, checker, loadBalancer, options, number).start(seconds));
  }

  private void onStoreRequest(
      InetSocketAddress local, HttpRequest request, Consumer<HttpResponse> reply) {
    storeTimeline.post(
        () -> {
          storeRequests++;
          storeTimeline.after(
              options.storeLatencyMillis / MILLIS_PER_SECOND,
              () -> store.handle("", request, reply));
        });
  }

  private void onCloudRequest(
      InetSocketAddress local, HttpRequest request, Consumer<HttpResponse> reply) {
    timeline.post(() -> cloud.handle(request, reply));
  }

  private void onWorkerRequest(
      InetSocketAddress local, HttpRequest request, Consumer<HttpResponse> reply) {
    SimulatedWorker worker =
        workersByAddress.get(local.getAddress().getHostAddress() + ":" + local.getPort());
    if (worker != null) {
      timeline.post(() -> worker.handle(request, reply));
    }
  }

  private SimulatedWorker startWorker(SimulatedMachine machine) {
    SimulatedWorker worker =
        new SimulatedWorker(
            timeline,
            checker,
            new ConnectionHeartbeats(),
            machine,
            new SimulatedWorker.Timing(options.reportSeconds, options.leaseSeconds));
    connections.put(worker, new HttpConnection(shared.threads(), workerBytes));
    workersByAddress.put(machine.address(), worker);
    return worker;
  }

  /** Sends heartbeats over each worker's own connection. */
  private final class ConnectionHeartbeats implements HeartbeatSender {
    @Override
    public List<String> controllerLabels() {
      return controllers.stream().map(ControllerProcess::label).toList();
    }

    @Override
    public void send(
        SimulatedWorker worker, int controller, String body, Consumer<HttpResponse> reply) {
      if (controllers.get(controller).equals(unreachable)) {
        return;
      }
      connections
          .get(worker)
          .send(
              controllers.get(controller).address(),
              "POST",
              "/checkin",
              body,
              response -> timeline.post(() -> reply.accept(response)));
    }
  }

  /** Whether all controllers reported ready at their last probe. */
  boolean ready() {
    return controllers.stream().allMatch(ControllerProcess::ready);
  }

  /**
   * Injects a fault.
   *
   * @param fault kind of the fault, as in {@code --trouble}
   * @param amount the fault's number (a count, an index or seconds); 0 if none is given
   */
  void injectFault(String fault, double amount) {
    switch (fault) {
      case "kill-leader" -> kill(leader());
      case "kill-controller" -> kill(controllers.get((int) amount));
      case "kill-workers" ->
          timeline.post(() -> randomMachines((int) amount).forEach(cloud::delete));
      case "restart-workers" ->
          timeline.post(
              () -> workersOf(randomMachines((int) amount)).forEach(SimulatedWorker::reboot));
      case "zone-dark" -> timeline.post(() -> hangZone(CellSettings.ZONES.get(0), amount));
      case "controller-unreachable" -> dropHeartbeatsToFollower(amount);
      case "state-out" -> storeTimeline.post(() -> store.outage(amount));
      default -> throw new IllegalArgumentException("unknown fault kind: " + fault);
    }
  }

  /** Drops all heartbeats to one controller that is not the leader. */
  private void dropHeartbeatsToFollower(double seconds) {
    ControllerProcess leader = leader();
    ControllerProcess follower =
        controllers.stream()
            .filter(controller -> !controller.equals(leader))
            .findFirst()
            .orElseThrow();
    timeline.post(() -> unreachable = follower);
    timeline.post(() -> timeline.after(seconds, () -> unreachable = null));
  }

  private List<SimulatedMachine> randomMachines(int count) {
    List<SimulatedMachine> up = new ArrayList<>(cloud.runningMachines());
    Collections.shuffle(up, new Random(options.seed));
    return up.subList(0, Math.min(count, up.size()));
  }

  private static List<SimulatedWorker> workersOf(List<SimulatedMachine> machines) {
    return machines.stream().flatMap(machine -> machine.worker().stream()).toList();
  }

  private void hangZone(String zone, double seconds) {
    List<SimulatedMachine> machines =
        cloud.runningMachines().stream().filter(machine -> machine.zone().equals(zone)).toList();
    workersOf(machines).forEach(worker -> worker.hang(seconds));
  }

  private void kill(ControllerProcess controller) {
    controller.kill();
    timeline.post(() -> timeline.after(RESTART_SECONDS, controller::start));
  }

  private ControllerProcess leader() {
    JsonNode value = callOn(storeTimeline, () -> store.values().get("c/leader"));
    String label = value == null ? "" : value.path("node").asText();
    return controllers.stream()
        .filter(controller -> controller.label().equals(label))
        .findFirst()
        .orElse(controllers.get(0));
  }

  /** Label of the last leader in the store; of the first controller if there has been none. */
  String leaderLabel() {
    return leader().label();
  }

  List<ControllerProcess> controllers() {
    return controllers;
  }

  InvariantChecker checker() {
    return checker;
  }

  RealTimeline timeline() {
    return timeline;
  }

  /** Current counters of the simulated services and workers. */
  ScaleMeasures.SimulatorCounters simulatorCounters() {
    return new ScaleMeasures.SimulatorCounters(
        storeRequests,
        store.history().writeCount(),
        store.rateLimitedCount(),
        storeBytes.bytes(),
        workerBytes.bytes(),
        workerBytes.open(),
        cloudBytes.bytes(),
        timeline.processorNanos() / NANOS_PER_SECOND,
        storeTimeline.processorNanos() / NANOS_PER_SECOND,
        callOn(timeline, () -> cloud.runningMachines().size()));
  }

  void killControllers() {
    controllers.stream().filter(ControllerProcess::alive).forEach(ControllerProcess::kill);
  }

  /** Kills the controllers and closes all threads and connections of this cell. */
  void stop() {
    killControllers();
    timeline.stop();
    storeTimeline.stop();
    listeners.forEach(HttpListener::close);
    connections.values().forEach(HttpConnection::close);
  }
}
