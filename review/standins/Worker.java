import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Stand-in of a machine with its worker. */
final class Worker {
  /** Holds messages of this worker back; a negative time drops the message. */
  interface Trouble {
    /** Delay of a report's answer on its way to the worker. */
    default long answerDelayMs(Worker worker, int node, Http.Answer answer) {
      return 0;
    }

    /** Delay of a report on its way to the node. */
    default long reportDelayMs(Worker worker, int node) {
      return 0;
    }

    /** Delay of a direct command on its way to the worker. */
    default long commandDelayMs(Worker worker, String body) {
      return 0;
    }
  }

  static final class Task {
    final String piece;
    final long attempt;
    String phase = "fetching";
    String cause = "";
    boolean kept;
    boolean onMachine;
    long saveUntil;

    Task(String piece, long attempt) {
      this.piece = piece;
      this.attempt = attempt;
    }
  }

  final String host;
  final String yard;
  final boolean loaner;
  private final Cluster cluster;
  private final HttpServer server;
  private final Random random;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private long shift = 1;
  private long tick;
  private long baton;
  private long leaseStart;
  private long lastSent;
  private long nextDue;
  private boolean change;
  private boolean gone;
  private boolean hung;
  private long recallAt;
  private long sentToken;
  private int node;

  Worker(Cluster cluster, String host, String yard, boolean loaner) throws IOException {
    this.cluster = cluster;
    this.host = host;
    this.yard = yard;
    this.loaner = loaner;
    this.random = new Random(host.hashCode());
    this.server = Http.serve(0, this::handle);
    this.node = random.nextInt(cluster.nodes());
    this.leaseStart = now();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  void start() {
    Http.THREADS.execute(this::reportLoop);
    Http.THREADS.execute(this::taskLoop);
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  /** The cloud gives notice. */
  synchronized void recall(long inMs) {
    recallAt = now() + inMs;
    changed();
  }

  /** The machine stands still. */
  synchronized void hang(boolean on) {
    hung = on;
    cluster.record.line(host + (on ? " hangs" : " goes on"));
    notifyAll();
  }

  /** The machine and all that is on it are gone. */
  synchronized void remove() {
    gone = true;
    tasks.values().forEach(task -> leave(task, "machine gone"));
    tasks.clear();
    server.stop(0);
    notifyAll();
  }

  synchronized boolean has(String piece) {
    return tasks.values().stream().anyMatch(t -> t.piece.equals(piece) && t.onMachine);
  }

  synchronized boolean hasRunning() {
    return tasks.values().stream().anyMatch(t -> t.onMachine);
  }

  private void changed() {
    change = true;
    notifyAll();
  }

  private void leave(Task task, String why) {
    if (task.onMachine) {
      task.onMachine = false;
      cluster.left(task.piece, task.attempt, host, why);
    }
  }

  private synchronized String report() {
    tick++;
    ObjectNode node = Http.JSON.createObjectNode();
    node.put("host", host);
    node.put("addr", address());
    node.put("build", "pampa-16");
    node.put("yard", yard);
    node.put("loaner", loaner);
    node.put("shift", shift);
    node.put("tick", tick);
    node.put("baton", baton);
    if (recallAt > 0) {
      node.put("recall_s", Math.max(0, (recallAt - now()) / 1000.0));
    } else {
      node.putNull("recall_s");
    }
    ArrayNode pieces = node.putArray("pieces");
    for (Task task : tasks.values()) {
      ObjectNode item = pieces.addObject();
      item.put("piece", task.piece);
      item.put("try", task.attempt);
      item.put("phase", task.phase);
      if (task.phase.equals("exited")) {
        item.put("cause", task.cause);
        if (task.kept) {
          item.put("kept", true);
        }
      }
    }
    return node.toString();
  }

  private void reportLoop() {
    while (true) {
      long sentAt;
      long sentShift;
      int target;
      String body;
      synchronized (this) {
        while (!gone && (hung || !(now() >= nextDue || (change && now() - lastSent >= 500)))) {
          long due = change ? Math.min(nextDue, lastSent + 500) : nextDue;
          await(hung ? 1000 : Math.max(1, due - now()));
        }
        if (gone) {
          return;
        }
        checkLease();
        change = false;
        lastSent = now();
        nextDue = lastSent + (long) (cluster.reportMs * (0.75 + 0.5 * random.nextDouble()));
        sentAt = lastSent;
        sentShift = shift;
        target = node;
        body = report();
      }
      long late = cluster.workerTrouble.reportDelayMs(this, target);
      Http.Answer answer = new Http.Answer(0, "");
      if (late >= 0) {
        Http.sleep(late);
        answer = Http.call(cluster.publicPort(target), "POST", "/checkin", body, 4000);
        long answeredAt = now();
        long delay = cluster.workerTrouble.answerDelayMs(this, target, answer);
        if (delay < 0) {
          answer = new Http.Answer(0, "");
        } else if (delay > 0) {
          Http.sleep(Math.min(delay, Math.max(0, sentAt + 4000 - now())));
          cluster.record.line(
              host + " answer held for " + (now() - answeredAt) + " ms: " + answer.body());
        }
      }
      synchronized (this) {
        while (hung && !gone) {
          await(1000);
        }
        if (gone) {
          return;
        }
        if (now() - sentAt >= 4000) {
          answer = new Http.Answer(0, "");
        }
        checkLease();
        onAnswer(answer, target, sentAt, sentShift);
      }
    }
  }

  private void await(long ms) {
    try {
      wait(ms);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private void onAnswer(Http.Answer answer, int target, long sentAt, long sentShift) {
    JsonNode body = answer.json();
    if (answer.status() == 200) {
      if (sentShift == shift && body.path("baton").asLong(-1) >= baton) {
        leaseStart = sentAt;
        if (body.path("baton").asLong() > baton) {
          baton = body.path("baton").asLong();
          if (now() - sentToken >= cluster.leaseMs / 2) {
            sentToken = now();
            changed();
          }
        }
        execute(body.path("orders"), "answer");
      }
      return;
    }
    if (answer.status() == 421 && body.hasNonNull("foreman")) {
      int named = cluster.indexOf(body.get("foreman").asText());
      if (named >= 0 && named != target) {
        node = named;
        // At once or after up to half a second, but reports are half a second apart.
        nextDue = Math.max(now() + random.nextInt(500), lastSent + 500);
        return;
      }
    }
    node = (target + 1) % cluster.nodes();
    nextDue = now() + 1000;
    change = false;
  }

  private void checkLease() {
    if (!gone && now() - leaseStart > cluster.leaseMs) {
      cluster.record.line(host + " lease ran out, shift " + (shift + 1));
      tasks.values().forEach(task -> leave(task, "lease ran out"));
      tasks.clear();
      shift++;
      leaseStart = now();
      changed();
    }
  }

  private Http.Answer handle(String method, String path, String body) throws Exception {
    if (path.equals("/status")) {
      synchronized (this) {
        while (hung && !gone) {
          wait(1000);
        }
      }
      return new Http.Answer(200, report());
    }
    long delay = cluster.workerTrouble.commandDelayMs(this, body);
    if (delay < 0) {
      return Http.NONE;
    }
    Http.sleep(delay);
    JsonNode command = Http.JSON.readTree(body);
    synchronized (this) {
      while (hung && !gone) {
        wait(1000);
      }
      if (gone) {
        return Http.NONE;
      }
      checkLease();
      if (!command.has("baton") || !command.has("shift")) {
        return new Http.Answer(400, "{}");
      }
      boolean stale =
          command.get("baton").asLong() < baton || command.get("shift").asLong() != shift;
      if (!stale) {
        if (command.get("baton").asLong() > baton) {
          baton = command.get("baton").asLong();
          if (now() - sentToken >= cluster.leaseMs / 2) {
            sentToken = now();
            changed();
          }
        }
        execute(command.path("orders"), "direct");
      }
      return new Http.Answer(stale ? 409 : 200, report());
    }
  }

  private void execute(JsonNode orders, String way) {
    for (JsonNode order : orders) {
      String piece = order.path("piece").asText();
      long attempt = order.path("try").asLong();
      String key = piece + "#" + attempt;
      Task task = tasks.get(key);
      switch (order.path("verb").asText()) {
        case "run" -> {
          if (task == null) {
            cluster.record.line(host + " run " + key + " (" + way + ", baton " + baton + ")");
            run(piece, attempt);
          }
        }
        case "halt" -> {
          if (task != null && !task.phase.equals("exited")) {
            halt(task, order.path("wind_down_s").asDouble());
          }
        }
        case "forget" -> {
          if (task != null && task.phase.equals("exited")) {
            tasks.remove(key);
            cluster.record.line(host + " forget " + key + " (" + way + ")");
          }
        }
        default -> throw new IllegalStateException(order.toString());
      }
    }
  }

  private void run(String piece, long attempt) {
    Task task = new Task(piece, attempt);
    Cluster.Job job = cluster.job(piece);
    int index = Integer.parseInt(piece.substring(piece.indexOf('/') + 1));
    String refused = "";
    double cpus = 0;
    double ram = 0;
    for (Task other : tasks.values()) {
      if (!other.phase.equals("exited")) {
        if (other.piece.equals(piece)) {
          refused = "in_use";
        }
        cpus += cluster.job(other.piece).cpus;
        ram += cluster.job(other.piece).ramGb;
      }
    }
    if (job == null || index >= job.pieces) {
      refused = "no_such";
    } else if (refused.isEmpty() && (cpus + job.cpus > 16.0001 || ram + job.ramGb > 128.0001)) {
      refused = "full";
    }
    tasks.put(piece + "#" + attempt, task);
    changed();
    if (!refused.isEmpty()) {
      task.phase = "exited";
      task.cause = refused;
      cluster.record.line(host + " refuses " + piece + "#" + attempt + " " + refused);
      return;
    }
    long fetchMs = images.contains(job.bundle) ? 0 : (long) (1000 * job.pullGb);
    Http.THREADS.execute(
        () -> {
          pause(fetchMs);
          synchronized (this) {
            if (gone || !task.phase.equals("fetching") || tasks.get(piece + "#" + attempt) != task) {
              return;
            }
            images.add(job.bundle);
            task.onMachine = true;
            cluster.entered(piece, attempt, host);
            task.phase = "running";
            changed();
            if (cluster.isDone(piece)) {
              exit(task, "done", false);
              return;
            }
          }
          for (long ran = 0; ran < job.runMs && !job.finish; ran += 50) {
            pause(50);
          }
          synchronized (this) {
            if (!gone && task.phase.equals("running") && tasks.get(piece + "#" + attempt) == task) {
              cluster.done(piece);
              exit(task, "done", false);
            }
          }
        });
  }

  /** Waits that long, not counting the time for which the machine hangs. */
  private void pause(long ms) {
    long left = ms;
    while (left > 0) {
      long step = Math.min(left, 50);
      Http.sleep(step);
      synchronized (this) {
        if (!hung) {
          left -= step;
        }
      }
    }
    synchronized (this) {
      while (hung && !gone) {
        await(1000);
      }
    }
  }

  private void halt(Task task, double windDown) {
    Cluster.Job job = cluster.job(task.piece);
    boolean saves = job.snapshotS > 0 && windDown >= job.flushS && task.phase.equals("running");
    if (saves) {
      task.phase = "saving";
      task.saveUntil = now() + (long) (1000 * job.flushS);
      changed();
    } else if (!task.phase.equals("saving") || windDown == 0) {
      exit(task, "halted", false);
    }
  }

  private void exit(Task task, String cause, boolean kept) {
    task.phase = "exited";
    task.cause = cause;
    task.kept = kept;
    leave(task, cause);
    changed();
  }

  private void taskLoop() {
    while (true) {
      Http.sleep(50);
      synchronized (this) {
        if (gone) {
          return;
        }
        if (!hung) {
          checkLease();
          for (Task task : new ArrayList<>(tasks.values())) {
            if (task.phase.equals("saving") && now() >= task.saveUntil) {
              exit(task, "halted", true);
            }
          }
        }
      }
    }
  }

  synchronized List<String> listed() {
    return List.copyOf(tasks.keySet());
  }
}
