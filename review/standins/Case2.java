import java.nio.file.Path;
import java.util.function.BooleanSupplier;

/**
 * The answer to a report, with an order to start a task, is held up for one to two seconds.
 * Meanwhile the same order comes directly, the task makes room for a more urgent one, is forgotten
 * and starts on another machine. All other messages come at once, but for that one direct command,
 * which takes 300 ms.
 */
final class Case2 {
  /** Less than the 4 s for which a worker waits for an answer. */
  private static final long MAX_HELD_MS = 3700;

  private static final long COMMAND_MS = 300;
  private static Cluster cluster;
  private static boolean trouble;
  private static volatile String watched = "";
  private static volatile Worker first;
  private static volatile Cluster.Job filler;
  private static volatile boolean commandSeen;
  private static volatile boolean answerHeld;
  private static int number;

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]);
    Path folder = Path.of(args[1]);
    trouble = !"0".equals(System.getenv("TROUBLE"));
    cluster = new Cluster(root, folder, 1);
    int code = 2;
    try {
      code = run();
    } catch (Exception e) {
      e.printStackTrace();
      cluster.record.line("could not run: " + e);
    }
    for (String broken : cluster.record.broken()) {
      System.out.println(broken);
    }
    System.out.println("exit " + code + ", tasks started " + cluster.started);
    cluster.stop();
    System.exit(code);
  }

  private static boolean await(double seconds, BooleanSupplier condition) {
    double until = Record.seconds() + seconds;
    while (Record.seconds() < until) {
      if (condition.getAsBoolean()) {
        return true;
      }
      Http.sleep(10);
    }
    return false;
  }

  private static Cluster.Job job(String urgency, int pieces, double cpus, String yard) {
    Cluster.Job job = new Cluster.Job();
    job.ref = String.format("run-%06d", ++number);
    job.urgency = urgency;
    job.pieces = pieces;
    job.cpus = cpus;
    job.yard = yard;
    job.runMs = 300_000;
    job.guessS = 300;
    job.dueS = 0;
    cluster.submit(job);
    return job;
  }

  private static boolean awaitRunning(Cluster.Job job, double seconds) {
    return await(
        seconds,
        () -> {
          for (int i = 0; i < job.pieces; i++) {
            if (!cluster.isOnMachine(job.ref + "/" + i)) {
              return false;
            }
          }
          return true;
        });
  }

  private static int run() throws Exception {
    first = cluster.cloud.addUp("mvd-centro");
    cluster.cloud.addUp("salto-norte");
    cluster.workerTrouble = new HeldUp();
    for (int i = 0; i < 3; i++) {
      cluster.startNode(i);
    }
    for (int i = 0; i < 3; i++) {
      if (!cluster.awaitReady(i, 20)) {
        return 2;
      }
    }
    Cluster.Job base = job("standard", 2, 4.25, "mvd-centro");
    if (!awaitRunning(base, 20)) {
      return 2;
    }
    int played = 0;
    for (int trial = 0; trial < 5 && cluster.record.broken().isEmpty(); trial++) {
      if (Record.seconds() > 95) {
        break;
      }
      played += trial() ? 1 : 0;
    }
    if (!cluster.record.broken().isEmpty()) {
      return 1;
    }
    return played > 0 ? 0 : 2;
  }

  /** Plays the order of events once; returns whether it came about. */
  private static boolean trial() {
    Cluster.Job full = job("standard", 3, 4, "salto-norte");
    Cluster.Job last = job("standard", 1, 4, "salto-norte");
    filler = job("standard", 1, 0.5, "mvd-centro");
    if (!awaitRunning(full, 20) || !awaitRunning(last, 20) || !awaitRunning(filler, 20)) {
      return false;
    }
    Http.sleep(4000);
    commandSeen = false;
    answerHeld = false;
    // Fits only on the first machine.
    Cluster.Job moved = new Cluster.Job();
    moved.ref = String.format("run-%06d", ++number);
    moved.urgency = "standard";
    moved.cpus = 4;
    moved.runMs = 300_000;
    moved.guessS = 300;
    moved.dueS = 0;
    String piece = moved.ref + "/0";
    watched = piece;
    cluster.submit(moved);
    boolean came = awaitRunning(moved, 10);
    // A more urgent job that fits only where this one is.
    Cluster.Job urgent = job("urgent", 1, 4, "mvd-centro");
    came &= awaitRunning(urgent, 10);
    // One more small job: the order to start it also tells the machine what to forget.
    Cluster.Job small = job("standard", 1, 0.5, "mvd-centro");
    came &= awaitRunning(small, 10);
    last.finish = true;
    came &= await(10, () -> movedAway(piece));
    cluster.record.line("now on " + cluster.machineOf(piece));
    urgent.finish = true;
    Http.sleep(2000);
    watched = "";
    moved.finish = true;
    full.finish = true;
    filler.finish = true;
    small.finish = true;
    Http.sleep(2000);
    return came && (!trouble || answerHeld);
  }

  private static boolean movedAway(String piece) {
    return cluster.isOnMachine(piece) && !first.has(piece);
  }

  private static final class HeldUp implements Worker.Trouble {
    @Override
    public long commandDelayMs(Worker worker, String body) {
      boolean starts = worker == first && body.contains("\"run\",\"piece\":\"" + watched + "\"");
      if (watched.isEmpty() || !starts || commandSeen) {
        return 0;
      }
      commandSeen = true;
      // A small task ends now, and the worker reports that.
      filler.finish = true;
      return trouble ? COMMAND_MS : 0;
    }

    @Override
    public long answerDelayMs(Worker worker, int node, Http.Answer answer) {
      boolean starts =
          worker == first
              && answer.status() == 200
              && answer.body().contains("\"run\",\"piece\":\"" + watched + "\"");
      if (watched.isEmpty() || !starts || answerHeld || !trouble) {
        return 0;
      }
      answerHeld = true;
      // Until a little after the task runs on the other machine, but never longer than allowed.
      long until = System.nanoTime() + MAX_HELD_MS * 1_000_000;
      String piece = watched;
      while (System.nanoTime() < until && !movedAway(piece)) {
        Http.sleep(10);
      }
      return 100;
    }
  }
}
