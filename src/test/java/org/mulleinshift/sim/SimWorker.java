package org.mulleinshift.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;

/** A stand-in for a machine's worker. */
final class SimWorker {
  /** The way to the controllers. */
  interface Nodes {
    int count();

    int indexOf(String label);

    void checkin(SimWorker worker, int node, String body, Consumer<HttpResponse> reply);
  }

  private static final class Piece {
    private final String task;
    private final long attempt;
    private String phase = "fetching";
    private String cause;
    private boolean onMachine;

    Piece(String task, long attempt) {
      this.task = task;
      this.attempt = attempt;
    }
  }

  private static final double ANSWER_SECONDS = 4;
  private static final double MINIMUM_GAP = 0.5;

  private final World world;
  private final RuleBook rules;
  private final Nodes nodes;
  private final SimCloud.Machine machine;
  private final double reportSeconds;
  private final double leaseSeconds;
  private final ObjectMapper json = new ObjectMapper();
  private final Map<String, Piece> pieces = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private final List<Runnable> asleep = new ArrayList<>();
  private double hangUntil;
  private double deafUntil;
  private boolean dropsAnswers;
  private double muteUntil;
  private double slowFactor = 1;
  private boolean sick;
  private boolean gone;
  private Double recallAt;
  private long session = 1;
  private long tick;
  private long token;
  private double leaseFrom;
  private double lastSent = -10;
  private boolean inFlight;
  private boolean changed;
  private int node;
  private long reportNumber;

  SimWorker(
      World world,
      RuleBook rules,
      Nodes nodes,
      SimCloud.Machine machine,
      double reportSeconds,
      double leaseSeconds) {
    this.world = world;
    this.rules = rules;
    this.nodes = nodes;
    this.machine = machine;
    this.reportSeconds = reportSeconds;
    this.leaseSeconds = leaseSeconds;
    this.leaseFrom = world.seconds();
    this.node = (int) (world.random() * nodes.count());
    world.after(0.01, this::regularReport);
    world.after(0.1, this::checkLease);
  }

  String name() {
    return machine.name;
  }

  void hang(double seconds) {
    hangUntil = world.seconds() + seconds;
    world.after(
        seconds,
        () -> {
          List<Runnable> steps = new ArrayList<>(asleep);
          asleep.clear();
          endSessionIfOver();
          steps.forEach(Runnable::run);
        });
  }

  /**
   * Its reports arrive; what is said to it doesn't: it tries other nodes, or takes what comes for
   * an answer that it must drop, and stays.
   */
  void deaf(double seconds, boolean stays) {
    deafUntil = world.seconds() + seconds;
    dropsAnswers = stays;
  }

  /** It reaches no controller, while direct commands reach it and are answered. */
  void mute(double seconds) {
    muteUntil = world.seconds() + seconds;
  }

  /** Whether a task of so many processors would run here. */
  boolean hasCapacity(double cpus) {
    boolean well = !gone && !sick && recallAt == null && world.seconds() >= hangUntil;
    return well && used() + cpus <= machine.cpus + 1e-6;
  }

  /** Back at once under the same name, and knows nothing of what was before. */
  void reboot() {
    pieces.values().forEach(piece -> rules.left(piece.task, machine.name));
    pieces.clear();
    images.clear();
    session = 1;
    tick = 0;
    token = 0;
    leaseFrom = world.seconds();
    reportNumber++;
    inFlight = false;
    change();
  }

  void sick() {
    sick = true;
  }

  void slow(double factor) {
    slowFactor = factor;
  }

  void recall(double seconds) {
    recallAt = world.seconds() + seconds;
    change();
  }

  /** The machine and all on it are gone. */
  void vanish() {
    gone = true;
    pieces.values().forEach(piece -> rules.left(piece.task, machine.name));
    pieces.clear();
  }

  private void awake(Runnable step) {
    if (gone) {
      return;
    }
    if (world.seconds() < hangUntil) {
      asleep.add(step);
    } else {
      step.run();
    }
  }

  private void checkLease() {
    if (!gone) {
      world.after(0.1, this::checkLease);
      endSessionIfOver();
    }
  }

  /** A hanging machine may go on only within its lease; past it, its tasks are gone. */
  private void endSessionIfOver() {
    if (gone || world.seconds() - leaseFrom <= leaseSeconds) {
      return;
    }
    pieces.values().forEach(piece -> rules.left(piece.task, machine.name));
    pieces.clear();
    session++;
    leaseFrom = world.seconds();
    change();
  }

  private void regularReport() {
    if (gone) {
      return;
    }
    awake(this::report);
    world.after(reportSeconds * (0.75 + 0.5 * world.random()), this::regularReport);
  }

  private void change() {
    changed = true;
    double wait = Math.max(0, MINIMUM_GAP - (world.seconds() - lastSent));
    world.after(
        wait,
        () ->
            awake(
                () -> {
                  if (changed) {
                    report();
                  }
                }));
  }

  private String body() {
    tick++;
    ObjectNode body = json.createObjectNode();
    body.put("host", machine.name);
    body.put("addr", machine.address);
    body.put("build", machine.type);
    body.put("yard", machine.zone);
    body.put("loaner", machine.spot);
    body.put("shift", session);
    body.put("tick", tick);
    body.put("baton", token);
    if (recallAt != null) {
      body.put("recall_s", Math.max(0, recallAt - world.seconds()));
    }
    var list = body.putArray("pieces");
    for (Piece piece : pieces.values()) {
      ObjectNode item = list.addObject();
      item.put("piece", piece.task);
      item.put("try", piece.attempt);
      item.put("phase", piece.phase);
      if (piece.cause != null) {
        item.put("cause", piece.cause);
      }
    }
    return body.toString();
  }

  private void report() {
    if (inFlight || world.seconds() - lastSent < MINIMUM_GAP - 1e-6) {
      return;
    }
    inFlight = true;
    changed = false;
    lastSent = world.seconds();
    double sent = lastSent;
    long sentSession = session;
    long mine = ++reportNumber;
    String report = body();
    if (world.seconds() >= muteUntil) {
      nodes.checkin(this, node, report, reply -> awake(() -> hear(reply, mine, sent, sentSession)));
    }
    world.after(
        ANSWER_SECONDS,
        () ->
            awake(
                () -> {
                  if (mine == reportNumber && inFlight) {
                    inFlight = false;
                    tryNext();
                  }
                }));
  }

  private void hear(HttpResponse reply, long mine, double sent, long sentSession) {
    boolean deaf = world.seconds() < deafUntil;
    if (mine == reportNumber && inFlight && !(deaf && !dropsAnswers)) {
      inFlight = false;
      if (!deaf) {
        answered(reply, sent, sentSession);
      }
    }
  }

  private void tryNext() {
    node = (node + 1) % nodes.count();
    world.after(1, () -> awake(this::report));
  }

  private void answered(HttpResponse reply, double sent, long sentSession) {
    JsonNode body = parse(reply.body());
    if (reply.status() == 421 && body.hasNonNull("foreman")) {
      int named = nodes.indexOf(body.get("foreman").asText());
      if (named >= 0 && named != node) {
        node = named;
        world.after(0.5 * world.random(), () -> awake(this::report));
        return;
      }
    }
    if (reply.status() != 200) {
      tryNext();
      return;
    }
    long given = body.path("baton").asLong(-1);
    if (sentSession != session || given < token) {
      return;
    }
    boolean higher = given > token;
    token = given;
    leaseFrom = sent;
    obey(body.path("orders"));
    if (higher) {
      change();
    }
  }

  private JsonNode parse(String body) {
    try {
      return json.readTree(body.isEmpty() ? "{}" : body);
    } catch (IOException e) {
      return json.createObjectNode();
    }
  }

  /** Direct commands; they come late if the machine hangs. */
  void direct(HttpRequest request, Consumer<HttpResponse> reply) {
    if (world.seconds() < deafUntil) {
      return;
    }
    if (request.path().equals("/status")) {
      awake(() -> reply.accept(new HttpResponse(200, body())));
      return;
    }
    awake(
        () -> {
          JsonNode body = parse(request.body().orElse(""));
          boolean stale =
              body.path("baton").asLong(-1) < token || body.path("shift").asLong(-1) != session;
          if (!stale) {
            token = body.path("baton").asLong();
            obey(body.path("orders"));
          }
          reply.accept(new HttpResponse(stale ? 409 : 200, body()));
        });
  }

  private void obey(JsonNode orders) {
    for (JsonNode order : orders) {
      String task = order.path("piece").asText();
      long attempt = order.path("try").asLong();
      String key = task + " " + attempt;
      switch (order.path("verb").asText()) {
        case "run" -> run(task, attempt, key);
        case "halt" -> exit(pieces.get(key), "halted");
        case "forget" -> {
          Piece piece = pieces.get(key);
          if (piece != null && piece.phase.equals("exited")) {
            pieces.remove(key);
          }
        }
        default -> throw new IllegalStateException(order.toString());
      }
    }
  }

  private void run(String task, long attempt, String key) {
    if (pieces.containsKey(key)) {
      return;
    }
    Piece piece = new Piece(task, attempt);
    RuleBook.TrueJob job = rules.job(task.substring(0, task.lastIndexOf('/')));
    boolean busy =
        pieces.values().stream()
            .anyMatch(other -> other.task.equals(task) && !other.phase.equals("exited"));
    pieces.put(key, piece);
    if (job == null || !job.submitted) {
      exit(piece, "no_such");
    } else if (busy) {
      exit(piece, "in_use");
    } else if (used() > machine.cpus + 1e-6) {
      exit(piece, "full");
    } else {
      change();
      String image = job.fields.getOrDefault("image", "img-1");
      double fetch = images.contains(image) ? 0.01 : job.number("fetch", 1);
      long mine = session;
      world.after(fetch, () -> awake(() -> begin(piece, job, image, mine)));
    }
  }

  private double used() {
    double used = 0;
    for (Piece piece : pieces.values()) {
      if (!piece.phase.equals("exited")) {
        used += rules.job(piece.task.substring(0, piece.task.lastIndexOf('/'))).number("cpus", 1);
      }
    }
    return used;
  }

  private boolean live(Piece piece, long mine) {
    return session == mine && pieces.get(piece.task + " " + piece.attempt) == piece;
  }

  private void begin(Piece piece, RuleBook.TrueJob job, String image, long mine) {
    if (!live(piece, mine) || !piece.phase.equals("fetching")) {
      return;
    }
    images.add(image);
    piece.phase = "running";
    piece.onMachine = true;
    rules.started(piece.task, machine.name, machine.type, machine.zone, machine.spot);
    change();
    if (rules.isCompleted(piece.task)) {
      exit(piece, "done");
      return;
    }
    if (job.fields.getOrDefault("kind", "batch").equals("standing")) {
      return;
    }
    boolean fails = sick || job.flag("fails", false);
    double run = fails ? 0.5 : job.number("run", 10) * slowFactor;
    world.after(
        run - rules.beforeEnd(),
        () -> {
          if (live(piece, mine) && piece.phase.equals("running")) {
            rules.nearlyDone(piece.task);
          }
        });
    world.after(
        run,
        () ->
            awake(
                () -> {
                  if (live(piece, mine) && piece.phase.equals("running")) {
                    if (!fails) {
                      rules.completed(piece.task);
                    }
                    exit(piece, fails ? "error" : "done");
                  }
                }));
  }

  private void exit(Piece piece, String cause) {
    if (piece == null || piece.phase.equals("exited")) {
      return;
    }
    piece.phase = "exited";
    piece.cause = cause;
    if (piece.onMachine) {
      piece.onMachine = false;
      rules.left(piece.task, machine.name);
    }
    change();
  }
}
