package org.mulleinshift.sim;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Consumer;
import org.mulleinshift.controller.Controller;
import org.mulleinshift.memory.Heap;
import org.mulleinshift.memory.HeapMonitor;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.transport.AsyncHttpClient;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;
import org.mulleinshift.transport.MonotonicTime;
import org.mulleinshift.transport.Responder;

/** A controller in the simulated world: the real one, with its ways out replaced. */
final class SimNode {
  /** Where a call of the node goes. */
  interface Outside {
    void call(
        SimNode from, InetSocketAddress target, HttpRequest request, Consumer<HttpResponse> reply);

    void peer(SimNode from, String label, byte[] frame);
  }

  private static final long HEAP_BYTES = 64 << 20;

  private final World world;
  private final PlatformSettings settings;
  private Tunables tunables;
  private final Outside outside;
  private final double drift;
  private final SentMessages sent;
  private Controller controller;
  private int life;
  private double stalledUntil;
  private double stalledFor;
  private double heapShare;
  private int waiting;
  private int maxWaiting;
  private Consumer<Duration> onStandstill = gap -> {};

  SimNode(
      World world,
      PlatformSettings settings,
      Tunables tunables,
      Outside outside,
      double drift,
      SentMessages sent) {
    this.world = world;
    this.settings = settings;
    this.tunables = tunables;
    this.outside = outside;
    this.drift = drift;
    this.sent = sent;
  }

  String label() {
    return settings.label();
  }

  boolean alive() {
    return controller != null;
  }

  void start() {
    life++;
    Loop loop = new Loop(life);
    AsyncHttpClient caller =
        (target, request, reply) -> {
          observeCall(target, request);
          int mine = life;
          boolean[] answered = new boolean[1];
          Consumer<HttpResponse> once =
              value -> {
                if (!answered[0]) {
                  answered[0] = true;
                  loop.post(() -> reply.accept(value));
                }
              };
          outside.call(this, target, request, once);
          world.after(
              request.deadline().toNanos() / 1e9,
              () -> {
                if (mine == life) {
                  once.accept(HttpResponse.NO_RESPONSE);
                }
              });
        };
    controller =
        new Controller(
            settings,
            tunables,
            new Controller.Ports(
                loop,
                caller,
                caller,
                caller,
                caller,
                (label, frame) -> {
                  sent.frame(world.nanos(), label(), label, frame);
                  outside.peer(this, label, frame);
                },
                new HeapMonitor(loop, new SimHeap(), HEAP_BYTES)));
    loop.post(controller::start);
  }

  private void observeCall(InetSocketAddress target, HttpRequest request) {
    sent.call(
        world.nanos(),
        label(),
        target,
        request.method(),
        request.path(),
        request.body().orElse("-"),
        request.deadline());
  }

  /** The operators' settings, read by the next process. */
  void tunables(Tunables next) {
    tunables = next;
  }

  /** So much of its heap is in use, and needed, from now on. */
  void heap(double share) {
    heapShare = share;
  }

  /** The most requests that waited for an answer at a time. */
  int maxWaiting() {
    return maxWaiting;
  }

  private final class SimHeap implements Heap {
    @Override
    public long used() {
      return (long) (heapShare * HEAP_BYTES);
    }

    @Override
    public void collect() {
      // All of it is needed.
    }
  }

  void kill() {
    waiting = 0;
    life++;
    controller = null;
  }

  /** The process gets no processor for a while: everything happens late. */
  void stall(double seconds) {
    stalledUntil = world.seconds() + seconds;
    stalledFor = seconds;
  }

  void onFrame(byte[] frame) {
    inside(() -> controller.onFrame(frame));
  }

  void request(String method, String path, String body, Consumer<HttpResponse> reply) {
    int mine = life;
    waiting++;
    maxWaiting = Math.max(maxWaiting, waiting);
    inside(
        () ->
            controller.handle(
                method,
                path,
                body,
                new Responder() {
                  @Override
                  public void respond(int status, String text) {
                    answer(status, text, 0);
                  }

                  @Override
                  public void respondLater(int status, String text, int seconds) {
                    answer(status, text, seconds);
                  }

                  private void answer(int status, String text, int retryAfter) {
                    String asked = method + " " + path;
                    sent.answer(world.nanos(), label(), asked, status, text, retryAfter);
                    waiting -= mine == life ? 1 : 0;
                    reply.accept(new HttpResponse(status, text));
                  }
                }));
  }

  private void inside(Runnable step) {
    if (controller != null) {
      int mine = life;
      run(mine, step);
    }
  }

  private void run(int mine, Runnable step) {
    if (mine != life || controller == null) {
      return;
    }
    if (world.seconds() < stalledUntil) {
      world.after(stalledUntil - world.seconds() + 1e-6, () -> run(mine, step));
    } else {
      if (stalledFor > 0) {
        Duration gap = Duration.ofMillis((long) (stalledFor * 1000));
        stalledFor = 0;
        onStandstill.accept(gap);
      }
      step.run();
    }
  }

  private final class Loop implements EventLoop {
    private final int mine;

    Loop(int mine) {
      this.mine = mine;
    }

    @Override
    public void post(Runnable step) {
      world.after(0.0001, () -> run(mine, step));
    }

    @Override
    public Timer after(Duration delay, Runnable step) {
      boolean[] cancelled = new boolean[1];
      world.after(
          delay.toNanos() / 1e9,
          () ->
              run(
                  mine,
                  () -> {
                    if (!cancelled[0]) {
                      step.run();
                    }
                  }));
      return () -> cancelled[0] = true;
    }

    @Override
    public void onProcessPause(Consumer<Duration> listener) {
      onStandstill = listener;
    }

    @Override
    public MonotonicTime now() {
      return new MonotonicTime((long) (world.nanos() * (1 + drift)));
    }

    @Override
    public long wallMillis() {
      return 1_700_000_000_000L + world.nanos() / 1_000_000;
    }

    @Override
    public double random() {
      return world.random();
    }
  }
}
