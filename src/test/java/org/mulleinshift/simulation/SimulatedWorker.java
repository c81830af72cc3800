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
 * The worker of a machine: it sends heartbeats, carries out commands that carry a fencing token at
 * least as high as the highest it has seen, and ends its tasks when its lease expires.
 */
public final class SimulatedWorker {
  private static final Logger LOG = LoggerFactory.getLogger(SimulatedWorker.class);
  private static final double ANSWER_SECONDS = 4;
  private static final double MIN_HEARTBEAT_GAP_SECONDS = 0.5;
  private static final double GAP_TOLERANCE_SECONDS = 1e-6;
  private static final double FIRST_HEARTBEAT_SECONDS = 0.01;
  private static final double LEASE_CHECK_SECONDS = 0.1;
  private static final double RETRY_SECONDS = 1;
  private static final double MAX_REDIRECT_SECONDS = 0.5;
  private static final double MIN_INTERVAL_FACTOR = 0.75;
  private static final double INTERVAL_FACTOR_SPREAD = 0.5;

  /** Durations of the protocol between controllers and workers, in seconds. */
  public record Timing(double heartbeatSeconds, double leaseSeconds) {}

  private final Timeline timeline;
  private final HeartbeatSender controllers;
  private final SimulatedMachine machine;
  private final Timing timing;
  private final ObjectMapper json = new ObjectMapper();
  private final WorkerTasks tasks;
  private final List<Runnable> stepsWhileHanging = new ArrayList<>();
  private double hangUntil;
  private double deafUntil;
  private boolean dropsAnswers;
  private double muteUntil;
  private boolean gone;
  private OptionalDouble interruptionAt = OptionalDouble.empty();
  private long epoch = 1;
  private long tick;
  private long token;
  private double leaseStart;
  private double lastSentAt = -10;
  private boolean inFlight;
  private boolean changePending;
  private int controller;
  private long heartbeatNumber;

  /** Starts the worker of a machine that has booted. */
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
    this.leaseStart = timeline.seconds();
    this.controller = (int) (timeline.random() * controllers.controllerLabels().size());
    timeline.after(FIRST_HEARTBEAT_SECONDS, this::sendRegularHeartbeat);
    timeline.after(LEASE_CHECK_SECONDS, this::checkLease);
  }

  private final class TaskHost implements WorkerTasks.Host {
    @Override
    public void whenAwake(Runnable step) {
      SimulatedWorker.this.whenAwake(step);
    }

    @Override
    public void changed() {
      reportChange();
    }

    @Override
    public long epoch() {
      return epoch;
    }
  }

  /** The name of its machine. */
  public String name() {
    return machine.name();
  }

  /** The machine does nothing for a while, and then all that it should have done. */
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

  /** Its heartbeats arrive, while no message reaches it: it tries other controllers. */
  public void deaf(double seconds) {
    deafUntil = timeline.seconds() + seconds;
    dropsAnswers = false;
  }

  /** Its heartbeats arrive; it drops the replies as invalid and keeps to its controller. */
  public void dropReplies(double seconds) {
    deafUntil = timeline.seconds() + seconds;
    dropsAnswers = true;
  }

  /** Its heartbeats are lost, while direct commands reach it and are answered. */
  public void mute(double seconds) {
    muteUntil = timeline.seconds() + seconds;
  }

  /** Whether a task of so many processors would run here. */
  public boolean hasCapacity(double cpus) {
    boolean healthy =
        !gone && !tasks.failing() && interruptionAt.isEmpty() && timeline.seconds() >= hangUntil;
    return healthy && tasks.hasCapacity(cpus);
  }

  /** The machine starts again at once under the same name, without any memory. */
  public void reboot() {
    tasks.clear();
    tasks.clearImages();
    epoch = 1;
    tick = 0;
    token = 0;
    leaseStart = timeline.seconds();
    heartbeatNumber++;
    inFlight = false;
    reportChange();
  }

  /** Every task that starts from now on fails. */
  public void failAllTasks() {
    tasks.failAll();
  }

  /** Tasks that start from now on take so many times as long. */
  public void slow(double factor) {
    tasks.slow(factor);
  }

  /** The cloud announces that it takes the machine back. */
  public void interrupt(double noticeSeconds) {
    interruptionAt = OptionalDouble.of(timeline.seconds() + noticeSeconds);
    reportChange();
  }

  /** The machine and all on it are gone. */
  void vanish() {
    gone = true;
    tasks.clear();
  }

  private void whenAwake(Runnable step) {
    if (gone) {
      return;
    }
    if (timeline.seconds() < hangUntil) {
      stepsWhileHanging.add(step);
    } else {
      step.run();
    }
  }

  private void checkLease() {
    if (!gone) {
      timeline.after(LEASE_CHECK_SECONDS, this::checkLease);
      endEpochIfLeaseExpired();
    }
  }

  /** A machine that hangs may go on only within its lease; after it, its tasks are gone. */
  private void endEpochIfLeaseExpired() {
    if (gone || timeline.seconds() - leaseStart <= timing.leaseSeconds()) {
      return;
    }
    logEvent(() -> "lease expired");
    tasks.clear();
    epoch++;
    leaseStart = timeline.seconds();
    reportChange();
  }

  private void sendRegularHeartbeat() {
    if (gone) {
      return;
    }
    whenAwake(this::sendHeartbeat);
    double factor = MIN_INTERVAL_FACTOR + INTERVAL_FACTOR_SPREAD * timeline.random();
    timeline.after(timing.heartbeatSeconds() * factor, this::sendRegularHeartbeat);
  }

  private void reportChange() {
    changePending = true;
    double wait = Math.max(0, MIN_HEARTBEAT_GAP_SECONDS - (timeline.seconds() - lastSentAt));
    timeline.after(
        wait,
        () ->
            whenAwake(
                () -> {
                  if (changePending) {
                    sendHeartbeat();
                  }
                }));
  }

  private String status() {
    tick++;
    ObjectNode body = json.createObjectNode();
    body.put("host", machine.name());
    body.put("addr", machine.address());
    body.put("build", machine.traits().type());
    body.put("yard", machine.zone());
    body.put("loaner", machine.traits().spot());
    body.put("shift", epoch);
    body.put("tick", tick);
    body.put("baton", token);
    if (interruptionAt.isPresent()) {
      body.put("recall_s", Math.max(0, interruptionAt.getAsDouble() - timeline.seconds()));
    }
    tasks.describe(body.putArray("pieces"));
    return body.toString();
  }

  private void sendHeartbeat() {
    double elapsed = timeline.seconds() - lastSentAt;
    if (inFlight || elapsed < MIN_HEARTBEAT_GAP_SECONDS - GAP_TOLERANCE_SECONDS) {
      return;
    }
    inFlight = true;
    changePending = false;
    lastSentAt = timeline.seconds();
    Heartbeat sent = new Heartbeat(++heartbeatNumber, lastSentAt, epoch);
    String status = status();
    if (timeline.seconds() >= muteUntil) {
      controllers.send(
          this, controller, status, reply -> whenAwake(() -> receiveReply(reply, sent)));
    }
    timeline.after(ANSWER_SECONDS, () -> whenAwake(() -> retryIfUnanswered(sent)));
  }

  /** A heartbeat that was sent, and the worker's epoch then. */
  private record Heartbeat(long number, double sentAt, long epoch) {}

  private boolean awaitsReplyTo(Heartbeat heartbeat) {
    return heartbeat.number() == heartbeatNumber && inFlight;
  }

  private void retryIfUnanswered(Heartbeat heartbeat) {
    if (awaitsReplyTo(heartbeat)) {
      logEvent(() -> "heartbeat unanswered, controller=" + controller);
      inFlight = false;
      tryNextController();
    }
  }

  private void logEvent(Supplier<String> event) {
    if (LOG.isDebugEnabled()) {
      LogOrigin.enter(machine.name(), timeline.seconds());
      LOG.debug("{} lease_age_s={}", event.get(), timeline.seconds() - leaseStart);
    }
  }

  private void receiveReply(HttpResponse reply, Heartbeat heartbeat) {
    boolean deaf = timeline.seconds() < deafUntil;
    boolean unreachable = deaf && !dropsAnswers;
    if (awaitsReplyTo(heartbeat) && !unreachable) {
      inFlight = false;
      if (!deaf) {
        processReply(reply, heartbeat);
      }
    }
  }

  private void tryNextController() {
    controller = (controller + 1) % controllers.controllerLabels().size();
    timeline.after(RETRY_SECONDS, () -> whenAwake(this::sendHeartbeat));
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
      int named = controllers.controllerLabels().indexOf(body.get("foreman").asText());
      if (named >= 0 && named != controller) {
        controller = named;
        double delay = MAX_REDIRECT_SECONDS * timeline.random();
        timeline.after(delay, () -> whenAwake(this::sendHeartbeat));
        return;
      }
    }
    if (reply.status() != HttpStatus.OK) {
      tryNextController();
      return;
    }
    long given = body.path("baton").asLong(-1);
    if (heartbeat.epoch() != epoch || given < token) {
      return;
    }
    boolean higher = given > token;
    token = given;
    leaseStart = heartbeat.sentAt();
    obey(body.path("orders"));
    if (higher) {
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

  /** A direct request of a controller arrives; it is served late if the machine hangs. */
  public void handle(HttpRequest request, Consumer<HttpResponse> reply) {
    if (timeline.seconds() < deafUntil) {
      return;
    }
    if (request.path().equals("/status")) {
      whenAwake(() -> reply.accept(new HttpResponse(HttpStatus.OK, status())));
    } else {
      whenAwake(() -> handleCommands(request, reply));
    }
  }

  private void handleCommands(HttpRequest request, Consumer<HttpResponse> reply) {
    JsonNode body = parse(request.body().orElse(""));
    boolean stale = body.path("baton").asLong(-1) < token || body.path("shift").asLong(-1) != epoch;
    if (!stale) {
      token = body.path("baton").asLong();
      obey(body.path("orders"));
    }
    reply.accept(new HttpResponse(stale ? HttpStatus.CONFLICT : HttpStatus.OK, status()));
  }

  private void obey(JsonNode commands) {
    for (JsonNode command : commands) {
      String task = command.path("piece").asText();
      long attempt = command.path("try").asLong();
      switch (command.path("verb").asText()) {
        case "run" -> tasks.run(task, attempt);
        case "halt" -> tasks.halt(task, attempt);
        case "forget" -> tasks.forget(task, attempt);
        default -> throw new IllegalStateException(command.toString());
      }
    }
  }
}
