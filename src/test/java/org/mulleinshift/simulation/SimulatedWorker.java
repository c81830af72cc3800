package org.mulleinshift.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.mulleinshift.invariants.InvariantChecker;
import org.mulleinshift.simulation.time.Timeline;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The worker of a machine. It sends heartbeats, executes commands whose fencing token is at least
 * as high as the highest it has seen, and ends its tasks when its lease expires.
 */
public final class SimulatedWorker {
  private static final Logger LOG = LoggerFactory.getLogger(SimulatedWorker.class);
  private static final double REPLY_TIMEOUT_SECONDS = 4;
  private static final double MIN_HEARTBEAT_GAP_SECONDS = 0.5;
  private static final double GAP_TOLERANCE_SECONDS = 1e-6;
  private static final double FIRST_HEARTBEAT_SECONDS = 0.01;
  private static final double LEASE_CHECK_SECONDS = 0.1;
  private static final double RETRY_SECONDS = 1;
  private static final double MAX_REDIRECT_SECONDS = 0.5;
  private static final double MIN_INTERVAL_FACTOR = 0.75;
  private static final double INTERVAL_FACTOR_SPREAD = 0.5;

  /** The mean interval between heartbeats and the duration of the worker's lease. */
  public record Timing(double heartbeatSeconds, double leaseSeconds) {}

  private final Timeline timeline;
  private final HeartbeatSender controllers;
  private final SimulatedMachine machine;
  private final Timing timing;
  private final ObjectMapper json = new ObjectMapper();
  private final WorkerTasks tasks;
  private final List<Runnable> stepsWhileHanging = new ArrayList<>();
  private double hangUntil;
  private double incomingIgnoredUntil;
  private boolean ignoredRepliesCountAsReceived;
  private double heartbeatsLostUntil;
  private boolean machineDeleted;
  private OptionalDouble interruptionAt = OptionalDouble.empty();
  private long epoch = 1;
  private long tick;
  private long fencingToken;
  private double leaseStartSeconds;
  private double lastSentAt = -10;
  private boolean awaitingReply;
  private boolean changePending;
  private int controller;
  private long heartbeatNumber;

  /** Starts the worker of a machine that has just booted. */
  public SimulatedWorker(
      Timeline timeline,
      InvariantChecker checker,
      HeartbeatSender controllers,
      SimulatedMachine machine,
      Timing timing) {
    this.timeline = timeline;
    this.controllers = controllers;
    this.machine = machine;
    this.timing = timing;
    this.tasks = new WorkerTasks(timeline, checker, machine, new TaskHost());
    this.leaseStartSeconds = timeline.seconds();
    this.controller = (int) (timeline.random() * controllers.controllerLabels().size());
    timeline.after(FIRST_HEARTBEAT_SECONDS, this::sendRegularHeartbeat);
    timeline.after(LEASE_CHECK_SECONDS, this::checkLease);
  }

  private final class TaskHost implements WorkerTasks.Host {
    @Override
    public void runWhenResponsive(Runnable step) {
      SimulatedWorker.this.runWhenResponsive(step);
    }

    @Override
    public void taskChanged() {
      reportChange();
    }

    @Override
    public long epoch() {
      return epoch;
    }
  }

  /** The name of the worker's machine. */
  public String name() {
    return machine.name();
  }

  /** The machine hangs for {@code seconds}; steps that came due meanwhile run afterwards. */
  public void hang(double seconds) {
    hangUntil = timeline.seconds() + seconds;
    timeline.after(
        seconds,
        () -> {
          List<Runnable> steps = new ArrayList<>(stepsWhileHanging);
          stepsWhileHanging.clear();
          endEpochIfLeaseExpired();
          steps.forEach(Runnable::run);
        });
  }

  /**
   * For {@code seconds}, heartbeats reach controllers but no message reaches the worker, so it
   * tries other controllers.
   */
  public void dropIncomingMessages(double seconds) {
    incomingIgnoredUntil = timeline.seconds() + seconds;
    ignoredRepliesCountAsReceived = false;
  }

  /**
   * For {@code seconds}, heartbeats reach the controller, but the worker discards the replies as
   * invalid and stays with that controller. Direct requests get no response.
   */
  public void dropReplies(double seconds) {
    incomingIgnoredUntil = timeline.seconds() + seconds;
    ignoredRepliesCountAsReceived = true;
  }

  /**
   * For {@code seconds}, heartbeats are lost, while direct requests reach the worker and get
   * responses.
   */
  public void loseHeartbeats(double seconds) {
    heartbeatsLostUntil = timeline.seconds() + seconds;
  }

  /** Whether the worker is healthy and has {@code cpus} processors free. */
  public boolean hasCapacity(double cpus) {
    boolean healthy =
        !machineDeleted
            && !tasks.failing()
            && interruptionAt.isEmpty()
            && timeline.seconds() >= hangUntil;
    return healthy && tasks.hasCapacity(cpus);
  }

  /**
   * Restarts the machine at once under the same name; tasks, images, epoch and fencing token are
   * lost.
   */
  public void reboot() {
    tasks.clear();
    tasks.clearImages();
    epoch = 1;
    tick = 0;
    fencingToken = 0;
    leaseStartSeconds = timeline.seconds();
    heartbeatNumber++;
    awaitingReply = false;
    reportChange();
  }

  /** Makes tasks that start from now on fail instead of completing. */
  public void failAllTasks() {
    tasks.failAll();
  }

  /** Makes tasks that start from now on run {@code factor} times as long. */
  public void slow(double factor) {
    tasks.slow(factor);
  }

  /** The cloud announces that it will reclaim the machine after {@code noticeSeconds}. */
  public void interrupt(double noticeSeconds) {
    interruptionAt = OptionalDouble.of(timeline.seconds() + noticeSeconds);
    reportChange();
  }

  /** Ends all tasks and stops the worker for good. */
  void onMachineDeleted() {
    machineDeleted = true;
    tasks.clear();
  }

  private void runWhenResponsive(Runnable step) {
    if (machineDeleted) {
      return;
    }
    if (timeline.seconds() < hangUntil) {
      stepsWhileHanging.add(step);
    } else {
      step.run();
    }
  }

  private void checkLease() {
    if (!machineDeleted) {
      timeline.after(LEASE_CHECK_SECONDS, this::checkLease);
      endEpochIfLeaseExpired();
    }
  }

  /**
   * Ends all tasks and begins a new epoch if the lease has expired. A machine that hung must check
   * this before it runs deferred steps.
   */
  private void endEpochIfLeaseExpired() {
    if (machineDeleted || timeline.seconds() - leaseStartSeconds <= timing.leaseSeconds()) {
      return;
    }
    logEvent(() -> "lease expired,");
    tasks.clear();
    epoch++;
    leaseStartSeconds = timeline.seconds();
    reportChange();
  }

  private void sendRegularHeartbeat() {
    if (machineDeleted) {
      return;
    }
    runWhenResponsive(this::sendHeartbeat);
    double factor = MIN_INTERVAL_FACTOR + INTERVAL_FACTOR_SPREAD * timeline.random();
    timeline.after(timing.heartbeatSeconds() * factor, this::sendRegularHeartbeat);
  }

  private void reportChange() {
    changePending = true;
    double wait = Math.max(0, MIN_HEARTBEAT_GAP_SECONDS - (timeline.seconds() - lastSentAt));
    timeline.after(
        wait,
        () ->
            runWhenResponsive(
                () -> {
                  if (changePending) {
                    sendHeartbeat();
                  }
                }));
  }

  private String nextStatusBody() {
    tick++;
    ObjectNode body = json.createObjectNode();
    body.put("host", machine.name());
    body.put("addr", machine.address());
    body.put("build", machine.traits().type());
    body.put("yard", machine.zone());
    body.put("loaner", machine.traits().spot());
    body.put("shift", epoch);
    body.put("tick", tick);
    body.put("baton", fencingToken);
    if (interruptionAt.isPresent()) {
      body.put("recall_s", Math.max(0, interruptionAt.getAsDouble() - timeline.seconds()));
    }
    tasks.describe(body.putArray("pieces"));
    return body.toString();
  }

  private void sendHeartbeat() {
    double elapsed = timeline.seconds() - lastSentAt;
    if (awaitingReply || elapsed < MIN_HEARTBEAT_GAP_SECONDS - GAP_TOLERANCE_SECONDS) {
      return;
    }
    awaitingReply = true;
    changePending = false;
    lastSentAt = timeline.seconds();
    Heartbeat sent = new Heartbeat(++heartbeatNumber, lastSentAt, epoch);
    String body = nextStatusBody();
    if (timeline.seconds() >= heartbeatsLostUntil) {
      controllers.send(
          this, controller, body, reply -> runWhenResponsive(() -> receiveReply(reply, sent)));
    }
    timeline.after(REPLY_TIMEOUT_SECONDS, () -> runWhenResponsive(() -> retryIfUnanswered(sent)));
  }

  /** A sent heartbeat, with the worker's epoch at that time. */
  private record Heartbeat(long number, double sentAt, long epoch) {}

  private boolean awaitsReplyTo(Heartbeat heartbeat) {
    return heartbeat.number() == heartbeatNumber && awaitingReply;
  }

  private void retryIfUnanswered(Heartbeat heartbeat) {
    if (awaitsReplyTo(heartbeat)) {
      logEvent(() -> "heartbeat unanswered, controller=" + controller);
      awaitingReply = false;
      tryNextController();
    }
  }

  private void logEvent(Supplier<String> event) {
    if (LOG.isDebugEnabled()) {
      LogOrigin.enter(machine.name(), timeline.seconds());
      LOG.debug("{} lease_age_s={}", event.get(), timeline.seconds() - leaseStartSeconds);
    }
  }

  private void receiveReply(HttpResponse reply, Heartbeat heartbeat) {
    boolean ignoresIncoming = timeline.seconds() < incomingIgnoredUntil;
    boolean unreachable = ignoresIncoming && !ignoredRepliesCountAsReceived;
    if (awaitsReplyTo(heartbeat) && !unreachable) {
      awaitingReply = false;
      if (!ignoresIncoming) {
        processReply(reply, heartbeat);
      }
    }
  }

  private void tryNextController() {
    controller = (controller + 1) % controllers.controllerLabels().size();
    timeline.after(RETRY_SECONDS, () -> runWhenResponsive(this::sendHeartbeat));
  }

  private void processReply(HttpResponse reply, Heartbeat heartbeat) {
    JsonNode body = parse(reply.body());
    logEvent(
        () ->
            "heartbeat answered, controller="
                + controller
                + " status="
                + reply.status()
                + " redirect="
                + body.path("foreman").asText("-"));
    if (reply.status() == HttpStatus.MISDIRECTED && body.hasNonNull("foreman")) {
      int redirectTarget = controllers.controllerLabels().indexOf(body.get("foreman").asText());
      if (redirectTarget >= 0 && redirectTarget != controller) {
        controller = redirectTarget;
        double delay = MAX_REDIRECT_SECONDS * timeline.random();
        timeline.after(delay, () -> runWhenResponsive(this::sendHeartbeat));
        return;
      }
    }
    if (reply.status() != HttpStatus.OK) {
      tryNextController();
      return;
    }
    long replyToken = body.path("baton").asLong(-1);
    if (heartbeat.epoch() != epoch || replyToken < fencingToken) {
      return;
    }
    boolean tokenIncreased = replyToken > fencingToken;
    fencingToken = replyToken;
    leaseStartSeconds = heartbeat.sentAt();
    executeCommands(body.path("orders"));
    if (tokenIncreased) {
      reportChange();
    }
  }

  private JsonNode parse(String body) {
    try {
      return json.readTree(body.isEmpty() ? "{}" : body);
    } catch (IOException e) {
      return json.createObjectNode();
    }
  }

  /**
   * Handles a direct request of a controller; if the machine hangs, the request is served
   * afterwards.
   */
  public void handle(HttpRequest request, Consumer<HttpResponse> reply) {
    if (timeline.seconds() < incomingIgnoredUntil) {
      return;
    }
    if (request.path().equals("/status")) {
      runWhenResponsive(() -> reply.accept(new HttpResponse(HttpStatus.OK, nextStatusBody())));
    } else {
      runWhenResponsive(() -> handleCommands(request, reply));
    }
  }

  private void handleCommands(HttpRequest request, Consumer<HttpResponse> reply) {
    JsonNode body = parse(request.body().orElse(""));
    boolean stale =
        body.path("baton").asLong(-1) < fencingToken || body.path("shift").asLong(-1) != epoch;
    if (!stale) {
      fencingToken = body.path("baton").asLong();
      executeCommands(body.path("orders"));
    }
    reply.accept(new HttpResponse(stale ? HttpStatus.CONFLICT : HttpStatus.OK, nextStatusBody()));
  }

  private void executeCommands(JsonNode commands) {
    for (JsonNode command : commands) {
      String task = command.path("piece").asText();
      long attempt = command.path("try").asLong();
      switch (command.path("verb").asText()) {
        case "run" -> tasks.run(task, attempt);
        case "halt" -> tasks.stop(task, attempt);
        case "forget" -> tasks.forget(task, attempt);
        default -> throw new IllegalStateException(command.toString());
      }
    }
  }
}
