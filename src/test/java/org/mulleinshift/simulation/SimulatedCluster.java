package org.mulleinshift.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.mulleinshift.invariants.InvariantChecker;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.simulation.time.Timeline;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;

/** A simulated cluster: controllers, store, cloud, workers and users, connected by a network. */
public final class SimulatedCluster {
  /** The store's address in the controllers' settings. */
  public static final InetSocketAddress STORE_ADDRESS = new InetSocketAddress("10.2.0.1", 2379);

  /** The cloud's address in the controllers' settings. */
  public static final InetSocketAddress CLOUD_ADDRESS = new InetSocketAddress("10.2.0.2", 8443);

  private static final double LISTING_LAG_SECONDS = 4;

  /** Relative difference in clock rate between one controller and the next. */
  private static final double CLOCK_DRIFT_STEP = 0.0004;

  /** Names of hosts on the network, besides the controllers' labels. */
  private static final String USERS = "users";

  private static final String WORKERS = "worker";
  private static final String DIRECT_COMMANDS = "worker-orders";
  private static final String STORE = "state";
  private static final String CLOUD = "cloud";

  private final Timeline timeline;
  private final InvariantChecker checker;
  private final SimulatedWorker.Timing workerTiming;
  private final SimulatedNetwork network;
  private final SimulatedStore store;
  private final SimulatedCloud cloud;
  private final DelayedDuplicates duplicates;
  private final Map<DelayedCopies.Kind, DelayedCopies> copies =
      new EnumMap<>(DelayedCopies.Kind.class);
  private final List<SimulatedController> controllers = new ArrayList<>();
  private final Map<String, SimulatedUser> users = new HashMap<>();
  private final ControllerTransport transport = new NetworkTransport();

  /** Creates a cluster without controllers and machine types. */
  public SimulatedCluster(
      Timeline timeline,
      InvariantChecker checker,
      SimulatedWorker.Timing workerTiming,
      PlatformSettings.StoreLimits storeLimits) {
    this.timeline = timeline;
    this.checker = checker;
    this.workerTiming = workerTiming;
    this.network = new SimulatedNetwork(timeline);
    this.store = new SimulatedStore(timeline, storeLimits);
    this.cloud = new SimulatedCloud(timeline, LISTING_LAG_SECONDS, this::startWorker);
    this.duplicates = new DelayedDuplicates(timeline, controllers);
    for (DelayedCopies.Kind kind : DelayedCopies.Kind.values()) {
      copies.put(kind, new DelayedCopies(timeline));
    }
    store.history().onTermStart(duplicates::deliverKept);
    checker.tasks().jobEndStoredWhen(store::isEnded);
  }

  private SimulatedWorker startWorker(SimulatedMachine machine) {
    return new SimulatedWorker(timeline, checker, new NetworkHeartbeats(), machine, workerTiming);
  }

  /** Adds a controller without starting it. */
  public void addController(
      PlatformSettings settings, Tunables tunables, SentMessageListener sentMessages) {
    double clockDrift = (controllers.size() - 1) * CLOCK_DRIFT_STEP;
    controllers.add(
        new SimulatedController(timeline, settings, tunables, transport, clockDrift, sentMessages));
  }

  /** The network that connects all hosts. */
  public SimulatedNetwork network() {
    return network;
  }

  /** The simulated key-value store. */
  public SimulatedStore store() {
    return store;
  }

  /** The simulated cloud. */
  public SimulatedCloud cloud() {
    return cloud;
  }

  /** The fault that delivers copies of workers' heartbeats late. */
  public DelayedDuplicates duplicates() {
    return duplicates;
  }

  /** The fault that delivers copies of messages of a kind late. */
  public DelayedCopies copies(DelayedCopies.Kind kind) {
    return copies.get(kind);
  }

  /** All controllers, running or not; a live view. */
  public List<SimulatedController> controllers() {
    return controllers;
  }

  /** The users by job id; a live view. */
  public Map<String, SimulatedUser> users() {
    return users;
  }

  /** The controller with the given label or role; see {@link #hostOf}. */
  public SimulatedController controller(String name) {
    String label = hostOf(name);
    return controllers.stream()
        .filter(controller -> controller.label().equals(label))
        .findFirst()
        .orElseThrow();
  }

  /**
   * Resolves a role to the host that has it now: {@code leader} is the leader according to the
   * store, {@code holder-of-a} the owner of the first shard in zone a. Other names are returned
   * unchanged.
   */
  public String hostOf(String name) {
    if (name.equals("leader")) {
      return storedLabel(StoreHistory.LEADER_KEY, "node");
    }
    if (name.startsWith("holder-of-")) {
      String zone = name.substring("holder-of-".length());
      return storedLabel(StoreHistory.GRANT_PREFIX + zone + "-0", "holder");
    }
    return name;
  }

  private String storedLabel(String key, String field) {
    JsonNode value = store.values().get(key);
    return value == null ? "node-0" : value.path(field).asText();
  }

  /**
   * Sends a user's request to a random running controller; without one, replies at once with no
   * response.
   */
  public void sendToAny(String method, String path, String body, Consumer<HttpResponse> reply) {
    List<SimulatedController> alive =
        controllers.stream().filter(SimulatedController::alive).toList();
    if (alive.isEmpty()) {
      reply.accept(HttpResponse.NO_RESPONSE);
      return;
    }
    int chosen = (int) (timeline.random() * alive.size());
    sendTo(alive.get(chosen), method, path, body, reply);
  }

  /** Sends a user's request to the given controller; the request or the response may be lost. */
  public void sendTo(
      SimulatedController controller,
      String method,
      String path,
      String body,
      Consumer<HttpResponse> reply) {
    String label = controller.label();
    network.deliver(
        USERS,
        label,
        () -> {
          copyUserRequest(method, path, body);
          controller.handle(
              method,
              path,
              body,
              response -> network.deliver(label, USERS, () -> reply.accept(response)));
        });
  }

  private void copyUserRequest(String method, String path, String body) {
    if (method.equals("POST")) {
      copies(DelayedCopies.Kind.USERS).onCarriedOut(() -> handleAtAny(method, path, body));
    }
  }

  /** Has a random running controller handle a request; the response is discarded. */
  private void handleAtAny(String method, String path, String body) {
    List<SimulatedController> alive =
        controllers.stream().filter(SimulatedController::alive).toList();
    if (!alive.isEmpty()) {
      int chosen = (int) (timeline.random() * alive.size());
      alive.get(chosen).handle(method, path, body, discarded -> {});
    }
  }

  private void deliverToWorker(
      InetSocketAddress target, HttpRequest request, Consumer<HttpResponse> reply) {
    cloud
        .workerAt(target.getHostString() + ":" + target.getPort())
        .ifPresent(worker -> worker.handle(request, reply));
  }

  /** Sends controllers' messages over the simulated network. */
  private final class NetworkTransport implements ControllerTransport {
    @Override
    public void send(
        SimulatedController sender,
        InetSocketAddress target,
        HttpRequest request,
        Consumer<HttpResponse> reply) {
      String host = hostAt(target);
      String label = sender.label();
      Consumer<HttpResponse> sendReply =
          response -> network.deliver(host, label, () -> reply.accept(response));
      network.deliver(label, host, () -> arrive(label, target, request, sendReply));
    }

    private String hostAt(InetSocketAddress target) {
      if (target.equals(STORE_ADDRESS)) {
        return STORE;
      }
      return target.equals(CLOUD_ADDRESS) ? CLOUD : DIRECT_COMMANDS;
    }

    private void arrive(
        String sender,
        InetSocketAddress target,
        HttpRequest request,
        Consumer<HttpResponse> reply) {
      carryOut(
          sender,
          target,
          request,
          response -> {
            if (response.status() == HttpStatus.OK && !request.method().equals("GET")) {
              copies(kindOf(target))
                  .onCarriedOut(() -> carryOut(sender, target, request, discarded -> {}));
            }
            reply.accept(response);
          });
    }

    private DelayedCopies.Kind kindOf(InetSocketAddress target) {
      if (target.equals(STORE_ADDRESS)) {
        return DelayedCopies.Kind.WRITES;
      }
      return target.equals(CLOUD_ADDRESS)
          ? DelayedCopies.Kind.MACHINES
          : DelayedCopies.Kind.COMMANDS;
    }

    private void carryOut(
        String sender,
        InetSocketAddress target,
        HttpRequest request,
        Consumer<HttpResponse> reply) {
      if (target.equals(STORE_ADDRESS)) {
        store.handle(sender, request, reply);
      } else if (target.equals(CLOUD_ADDRESS)) {
        cloud.handle(request, reply);
      } else {
        deliverToWorker(target, request, reply);
      }
    }

    @Override
    public void sendFrame(SimulatedController sender, String receiver, byte[] frame) {
      network.deliver(
          sender.label(),
          receiver,
          () -> {
            arriveFrame(receiver, frame);
            copies(DelayedCopies.Kind.FRAMES).onCarriedOut(() -> arriveFrame(receiver, frame));
          });
    }

    private void arriveFrame(String receiver, byte[] frame) {
      controllers.stream()
          .filter(controller -> controller.label().equals(receiver) && controller.alive())
          .forEach(controller -> controller.onFrame(frame));
    }
  }

  /** Sends heartbeats over the simulated network; some are duplicated. */
  private final class NetworkHeartbeats implements HeartbeatSender {
    @Override
    public List<String> controllerLabels() {
      return controllers.stream().map(SimulatedController::label).toList();
    }

    @Override
    public void send(
        SimulatedWorker worker, int controller, String body, Consumer<HttpResponse> reply) {
      duplicates.heartbeatSent(worker.name(), body);
      SimulatedController target = controllers.get(controller);
      String label = target.label();
      Consumer<HttpResponse> sendReply =
          response -> network.deliver(label, WORKERS, () -> reply.accept(response));
      network.deliver(
          WORKERS,
          label,
          () -> {
            if (target.alive()) {
              target.handle("POST", "/checkin", body, sendReply);
            } else {
              sendReply.accept(HttpResponse.NO_RESPONSE);
            }
          });
    }
  }
}
