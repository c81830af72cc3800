package org.mulleinshift.simulation;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Consumer;
import org.mulleinshift.controller.Controller;
import org.mulleinshift.memory.Heap;
import org.mulleinshift.memory.HeapMonitor;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.simulation.time.Timeline;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;
import org.mulleinshift.transport.MonotonicTime;
import org.mulleinshift.transport.Responder;

/** A controller process: the real controller with a simulated event loop, clock and transport. */
public final class SimulatedController {
  private static final long HEAP_BYTES = 64 << 20;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLIS_PER_SECOND = 1000;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double EVENT_LOOP_DELAY_SECONDS = 0.0001;
  private static final double AFTER_STALL_SECONDS = 1e-6;
  private static final long WALL_CLOCK_START_MILLIS = 1_700_000_000_000L;

  private final Timeline timeline;
  private final PlatformSettings settings;
  private final ControllerTransport transport;
  private final double clockDrift;
  private final SentMessageListener sentMessages;
  private Tunables tunables;
  private Controller controller;
  private int incarnation;
  private double stalledUntil;
  private double unreportedStallSeconds;
  private double usedHeapFraction;
  private int pendingRequests;
  private int maxPendingRequests;
  private Consumer<Duration> onProcessPause = pause -> {};

  /**
   * Creates a controller without starting its process.
   *
   * @param clockDrift fraction by which its monotonic clock runs fast
   * @param sentMessages observes all messages that it sends
   */
  public SimulatedController(
      Timeline timeline,
      PlatformSettings settings,
      Tunables tunables,
      ControllerTransport transport,
      double clockDrift,
      SentMessageListener sentMessages) {
    this.timeline = timeline;
    this.settings = settings;
    this.tunables = tunables;
    this.transport = transport;
    this.clockDrift = clockDrift;
    this.sentMessages = sentMessages;
  }

  /** The controller's label, as in its settings. */
  public String label() {
    return settings.label();
  }

  /** Whether the process is running. */
  public boolean alive() {
    return controller != null;
  }

  /** Starts a new process with the current settings and no memory of earlier ones. */
  public void start() {
    incarnation++;
    Loop loop = new Loop(incarnation);
    AsyncHttpClient client = (target, request, reply) -> send(loop, target, request, reply);
    controller =
        new Controller(
            settings,
            tunables,
            new Controller.Ports(
                loop,
                client,
                client,
                client,
                client,
                this::sendFrame,
                new HeapMonitor(loop, new SimulatedHeap(), HEAP_BYTES)));
    loop.post(controller::start);
  }

  private void send(
      Loop loop, InetSocketAddress target, HttpRequest request, Consumer<HttpResponse> reply) {
    observeRequest(target, request);
    int sendingIncarnation = incarnation;
    boolean[] answered = new boolean[1];
    Consumer<HttpResponse> once =
        response -> {
          if (!answered[0]) {
            answered[0] = true;
            loop.post(() -> reply.accept(response));
          }
        };
    transport.send(this, target, request, once);
    timeline.after(
        request.timeout().toNanos() / NANOS_PER_SECOND,
        () -> {
          if (sendingIncarnation == incarnation) {
            once.accept(HttpResponse.NO_RESPONSE);
          }
        });
  }

  private void observeRequest(InetSocketAddress target, HttpRequest request) {
    sentMessages.requestSent(
        timeline.nanos(),
        label(),
        target,
        request.method(),
        request.path(),
        request.body().orElse("-"),
        request.timeout());
  }

  private void sendFrame(String receiver, byte[] frame) {
    sentMessages.frameSent(timeline.nanos(), label(), receiver, frame);
    transport.sendFrame(this, receiver, frame);
  }

  /** Replaces the tunable settings; takes effect at the next {@link #start}. */
  public void tunables(Tunables next) {
    tunables = next;
  }

  /** From now on the given fraction of the heap is in use and cannot be collected. */
  public void setHeapUsage(double fraction) {
    usedHeapFraction = fraction;
  }

  /** The highest number of users' and workers' requests that awaited a response at one time. */
  public int maxPendingRequests() {
    return maxPendingRequests;
  }

  private final class SimulatedHeap implements Heap {
    @Override
    public long usedBytes() {
      return (long) (usedHeapFraction * HEAP_BYTES);
    }

    @Override
    public void collect() {
      // All used memory is reachable, so nothing can be freed.
    }
  }

  /** Ends the process at once; its pending steps never run. */
  public void kill() {
    pendingRequests = 0;
    incarnation++;
    controller = null;
  }

  /** Stalls the process for {@code seconds}: steps that come due meanwhile run after the stall. */
  public void stall(double seconds) {
    stalledUntil = timeline.seconds() + seconds;
    unreportedStallSeconds = seconds;
  }

  /** Handles a frame from another controller; ignored if the process is not running. */
  public void onFrame(byte[] frame) {
    runIfAlive(() -> controller.onFrame(frame));
  }

  /** Handles a request of a user or worker; unanswered if the process is not running. */
  public void handle(String method, String path, String body, Consumer<HttpResponse> reply) {
    pendingRequests++;
    maxPendingRequests = Math.max(maxPendingRequests, pendingRequests);
    Responder responder = new ObservedResponder(incarnation, method + " " + path, reply);
    runIfAlive(() -> controller.handle(method, path, body, responder));
  }

  private final class ObservedResponder implements Responder {
    private final int receivingIncarnation;
    private final String request;
    private final Consumer<HttpResponse> reply;

    ObservedResponder(int receivingIncarnation, String request, Consumer<HttpResponse> reply) {
      this.receivingIncarnation = receivingIncarnation;
      this.request = request;
      this.reply = reply;
    }

    @Override
    public void respond(int status, String text) {
      respondWithRetryAfter(status, text, 0);
    }

    @Override
    public void respondWithRetryAfter(int status, String text, int retryAfterSeconds) {
      sentMessages.responseSent(
          timeline.nanos(), label(), request, status, text, retryAfterSeconds);
      pendingRequests -= receivingIncarnation == incarnation ? 1 : 0;
      reply.accept(new HttpResponse(status, text));
    }
  }

  private void runIfAlive(Runnable step) {
    if (controller != null) {
      run(incarnation, step);
    }
  }

  /**
   * Runs a step unless its incarnation of the process has ended; during a stall, defers the step
   * until after the stall.
   */
  private void run(int stepIncarnation, Runnable step) {
    if (stepIncarnation != incarnation || controller == null) {
      return;
    }
    if (timeline.seconds() < stalledUntil) {
      double remaining = stalledUntil - timeline.seconds() + AFTER_STALL_SECONDS;
      timeline.after(remaining, () -> run(stepIncarnation, step));
    } else {
      LogOrigin.enter(label(), timeline.seconds());
      reportStall();
      step.run();
    }
  }

  private void reportStall() {
    if (unreportedStallSeconds > 0) {
      Duration pause = Duration.ofMillis((long) (unreportedStallSeconds * MILLIS_PER_SECOND));
      unreportedStallSeconds = 0;
      onProcessPause.accept(pause);
    }
  }

  private final class Loop implements EventLoop {
    private final int loopIncarnation;

    Loop(int loopIncarnation) {
      this.loopIncarnation = loopIncarnation;
    }

    @Override
    public void post(Runnable step) {
      timeline.after(EVENT_LOOP_DELAY_SECONDS, () -> run(loopIncarnation, step));
    }

    @Override
    public Timer after(Duration delay, Runnable step) {
      boolean[] cancelled = new boolean[1];
      Runnable unlessCancelled =
          () -> {
            if (!cancelled[0]) {
              step.run();
            }
          };
      timeline.after(
          delay.toNanos() / NANOS_PER_SECOND, () -> run(loopIncarnation, unlessCancelled));
      return () -> cancelled[0] = true;
    }

    @Override
    public void onProcessPause(Consumer<Duration> listener) {
      onProcessPause = listener;
    }

    @Override
    public MonotonicTime now() {
      return new MonotonicTime((long) (timeline.nanos() * (1 + clockDrift)));
    }

    @Override
    public long wallMillis() {
      return WALL_CLOCK_START_MILLIS + timeline.nanos() / NANOS_PER_MILLI;
    }

    @Override
    public double random() {
      return timeline.random();
    }
  }
}
