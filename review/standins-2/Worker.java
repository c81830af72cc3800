import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A worker as in PROTOCOL, with its lease, sessions, tokens and the states of its tasks. */
final class Worker implements AutoCloseable {
  private static final class Task {
    final String piece;
    final long attempt;
    String phase = "fetching";
    String cause;

    Task(String piece, long attempt) {
      this.piece = piece;
      this.attempt = attempt;
    }

    boolean exited() {
      return phase.equals("exited");
    }
  }

  private final String host;
  private final String yard;
  private final boolean loaner;
  private final Cluster cluster;
  private final Jobs jobs;
  private final ScheduledExecutorService timers;
  private final Http.Server server;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Long> images = new LinkedHashMap<>();
  private long shift = 1;
  private long tick;
  private long baton;
  private double answeredSentAt;
  private boolean changed;
  private boolean closed;
  private int node;

  Worker(
      String host, String yard, boolean loaner, Cluster cluster, ScheduledExecutorService timers)
      throws IOException {
    this.host = host;
    this.yard = yard;
    this.loaner = loaner;
    this.cluster = cluster;
    this.jobs = cluster.jobs;
    this.timers = timers;
    this.server = new Http.Server(this::serve);
    this.node = ThreadLocalRandom.current().nextInt(cluster.size());
    this.answeredSentAt = now();
    Thread thread = new Thread(this::report, "worker");
    thread.setDaemon(true);
    thread.start();
  }

  private static double now() {
    return System.nanoTime() / 1e9;
  }

  String host() {
    return host;
  }

  String address() {
    return "127.0.0.1:" + server.port();
  }

  private Http.Answer serve(Http.Request request) {
    synchronized (this) {
      if (closed) {
        return null;
      }
      checkLease();
      tick++;
      if (request.path().equals("/status")) {
        return new Http.Answer(200, body());
      }
      Map<String, Object> message = Json.object(request.body());
      if (!(message.get("baton") instanceof Number token)
          || !(message.get("shift") instanceof Number session)) {
        return new Http.Answer(400, "{}");
      }
      if (token.longValue() < baton || session.longValue() != shift) {
        return new Http.Answer(409, body());
      }
      raise(token.longValue());
      execute(Json.objects(message.get("orders")));
      return new Http.Answer(200, body());
    }
  }

  private void raise(long token) {
    if (token > baton) {
      baton = token;
      changed = true;
      notifyAll();
    }
  }

  private String body() {
    List<Object> pieces = new ArrayList<>();
    for (Task task : tasks.values()) {
      Map<String, Object> item =
          Json.map("piece", task.piece, "try", task.attempt, "phase", task.phase);
      if (task.exited()) {
        item.put("cause", task.cause);
      }
      pieces.add(item);
    }
    return Json.write(
        Json.map(
            "host", host, "addr", address(), "build", cluster.options.build, "yard", yard,
            "loaner", loaner, "shift", shift, "tick", tick, "baton", baton, "recall_s", null, "pieces", pieces));
  }

  private void checkLease() {
    if (now() - answeredSentAt > cluster.leaseSeconds) {
      for (Task task : tasks.values()) {
        if (!task.exited()) {
          jobs.ended(task.piece, task.attempt, host, "lease over");
        }
      }
      tasks.clear();
      shift++;
      answeredSentAt = now();
      changed = true;
    }
  }

  private void execute(List<Map<String, Object>> orders) {
    for (Map<String, Object> order : orders) {
      String piece = (String) order.get("piece");
      long attempt = ((Number) order.get("try")).longValue();
      String key = piece + "#" + attempt;
      Task task = tasks.get(key);
      switch ((String) order.get("verb")) {
        case "run" -> {
          if (task == null) {
            run(new Task(piece, attempt), key);
          }
        }
        case "halt" -> {
          if (task != null && !task.exited()) {
            exit(task, "halted");
          }
        }
        default -> {
          if (task != null && task.exited()) {
            tasks.remove(key);
            change();
          }
        }
      }
    }
  }

  private void run(Task task, String key) {
    jobs.commanded(task.piece, task.attempt, host);
    boolean inUse = false;
    double usedCpus = 0;
    double usedRam = 0;
    for (Task other : tasks.values()) {
      if (!other.exited()) {
        inUse |= other.piece.equals(task.piece);
        usedCpus += jobs.find(other.piece).amount("cpus");
        usedRam += jobs.find(other.piece).amount("ram_gb");
      }
    }
    tasks.put(key, task);
    change();
    Jobs.Job job = jobs.find(task.piece);
    if (job == null) {
      refuse(task, "no_such");
    } else if (inUse) {
      refuse(task, "in_use");
    } else if (usedCpus + job.amount("cpus") > cluster.options.buildCpus + 1e-6
        || usedRam + job.amount("ram_gb") > cluster.options.buildRamGb + 1e-6) {
      refuse(task, "full");
    } else {
      String image = (String) job.submission().get("bundle");
      long millis = images.containsKey(image) ? 0 : (long) (1000 * job.amount("pull_gb") / 0.5);
      if (millis == 0) {
        begin(task, job);
      } else {
        timers.schedule(() -> fetched(task, job, image), millis, TimeUnit.MILLISECONDS);
      }
    }
  }

  private void refuse(Task task, String cause) {
    task.phase = "exited";
    task.cause = cause;
  }

  private synchronized void fetched(Task task, Jobs.Job job, String image) {
    images.put(image, 1L);
    if (!closed && tasks.containsValue(task) && !task.exited()) {
      begin(task, job);
    }
  }

  private void begin(Task task, Jobs.Job job) {
    if (jobs.isDone(task.piece)) {
      refuse(task, "done");
      change();
      return;
    }
    task.phase = "running";
    jobs.started(task.piece, task.attempt, host);
    change();
    timers.schedule(
        () -> {
          synchronized (this) {
            if (!closed && tasks.containsValue(task) && !task.exited()) {
              exit(task, "done");
            }
          }
        },
        (long) (1000 * job.runSeconds()),
        TimeUnit.MILLISECONDS);
  }

  private void exit(Task task, String cause) {
    boolean ran = task.phase.equals("running");
    task.phase = "exited";
    task.cause = cause;
    if (ran) {
      jobs.ended(task.piece, task.attempt, host, cause);
    }
    change();
  }

  private void change() {
    changed = true;
    notifyAll();
  }

  private void report() {
    Http.Client client = null;
    int clientNode = -1;
    double nextAt = now();
    double lastAt = 0;
    try {
      while (true) {
        String body;
        double sentAt;
        long session;
        synchronized (this) {
          while (!closed) {
            checkLease();
            double now = now();
            double due = changed ? Math.min(nextAt, lastAt + 0.5) : nextAt;
            if (now >= due) {
              break;
            }
            wait(Math.max(1, (long) (1000 * Math.min(0.2, due - now))));
          }
          if (closed) {
            return;
          }
          changed = false;
          tick++;
          body = body();
          sentAt = now();
          session = shift;
        }
        lastAt = sentAt;
        if (clientNode != node) {
          if (client != null) {
            client.close();
          }
          client = new Http.Client(cluster.publicPort(node));
          clientNode = node;
        }
        double pause = cluster.reportSeconds * ThreadLocalRandom.current().nextDouble(0.75, 1.25);
        Http.Answer answer = null;
        try {
          answer = client.call("POST", "/checkin", body, 4000);
        } catch (IOException e) {
          // Counts as no answer.
        }
        if (answer != null && answer.status() == 200) {
          Map<String, Object> message = Json.object(answer.body());
          synchronized (this) {
            checkLease();
            if (message.get("baton") instanceof Number token
                && token.longValue() >= baton
                && session == shift) {
              raise(token.longValue());
              answeredSentAt = sentAt;
              execute(Json.objects(message.get("orders")));
            }
          }
        } else {
          pause = 1;
          int next = -1;
          if (answer != null && answer.status() == 421) {
            Object foreman = Json.object(answer.body()).get("foreman");
            next = foreman == null ? -1 : cluster.nodeNamed((String) foreman);
            if (next >= 0 && next != node) {
              pause = ThreadLocalRandom.current().nextDouble(0, 0.5);
            } else {
              next = -1;
            }
          }
          node = next >= 0 ? next : (node + 1) % cluster.size();
          synchronized (this) {
            changed = false;
          }
        }
        nextAt = now() + pause;
      }
    } catch (InterruptedException e) {
      // Ends.
    }
  }

  @Override
  public void close() throws IOException {
    synchronized (this) {
      closed = true;
      for (Task task : tasks.values()) {
        if (!task.exited()) {
          jobs.ended(task.piece, task.attempt, host, "machine gone");
        }
      }
      notifyAll();
    }
    server.close();
  }
}
