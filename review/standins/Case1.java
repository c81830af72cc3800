import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.Map;

/**
 * A shard changes hands while some answers of the state service take a few hundred milliseconds.
 *
 * <p>A controller that owns a shard stands still for 6 s; the leader takes the shard, and gives it
 * back about 9 s after the controller went on. Around that moment new machines come up in the
 * other zone, and the state service takes 250 ms for a transaction that grants a shard and 400 to 750 ms
 * for an answer about changes of control keys; all other answers are quick.
 */
final class Case1 {
  private static volatile boolean slow;
  private static volatile boolean submitting = true;

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]);
    Path folder = Path.of(args[1]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Cluster cluster = new Cluster(root, folder, 14);
    int code = 2;
    try {
      code = run(cluster, trouble);
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

  private static int run(Cluster cluster, boolean trouble) throws Exception {
    for (int i = 0; i < 12; i++) {
      cluster.cloud.addUp("mvd-centro");
      cluster.cloud.addUp("salto-norte");
    }
    cluster.cloud.bootS = 1.5;
    cluster.cloud.bootGapMs = 230;
    cluster.store.trouble((node, method, path, request, answer) -> delay(path, request));
    for (int i = 0; i < 3; i++) {
      cluster.startNode(i);
    }
    for (int i = 0; i < 3; i++) {
      if (!cluster.awaitReady(i, 20)) {
        return 2;
      }
    }
    Thread users = new Thread(() -> submit(cluster));
    users.setDaemon(true);
    users.start();
    Http.sleep(12_000);
    double end = 112;
    while (Record.seconds() < end - 24 && cluster.record.broken().isEmpty()) {
      int victim = victim(cluster);
      cluster.record.line("owners " + cluster.owners() + " leader " + cluster.leader());
      if (victim < 0) {
        Http.sleep(1000);
        continue;
      }
      takeWave(cluster);
      cluster.cloud.slowBoots = true;
      Http.sleep(3000);
      cluster.pauseNode(victim, true);
      Http.sleep(6000);
      cluster.pauseNode(victim, false);
      double resumed = Record.seconds();
      Http.sleep(7000);
      cluster.cloud.slowBoots = false;
      Http.sleep(1000);
      slow = trouble;
      while (Record.seconds() < resumed + 12
          && !cluster.owners().containsValue(Cluster.label(victim))) {
        Http.sleep(50);
      }
      Http.sleep(2500);
      slow = false;
    }
    submitting = false;
    Http.sleep(2000);
    return cluster.record.broken().isEmpty() ? 0 : 1;
  }

  /** Cheap machines of one zone are taken back in a wave. */
  private static void takeWave(Cluster cluster) {
    int taken = 0;
    for (Worker worker : cluster.cloud.workers()) {
      if (worker.yard.equals("salto-norte") && taken < 12) {
        cluster.cloud.take(worker.host);
        taken++;
      }
    }
  }

  private static int victim(Cluster cluster) {
    for (Map.Entry<String, String> entry : cluster.owners().entrySet()) {
      int owner = cluster.indexOf(entry.getValue());
      if (owner != cluster.leader()) {
        return owner;
      }
    }
    return -1;
  }

  private static volatile long grantedAt;

  private static long delay(String path, String request) {
    if (!slow) {
      return 0;
    }
    if (path.equals("/commit") && request.contains("\"c/g/")) {
      grantedAt = now();
      return 250;
    }
    if (!path.startsWith("/changes?starts=c/")) {
      return 0;
    }
    // An answer that was made before a grant comes 100 ms after the answer to the grant.
    long made = now();
    while (now() < made + 400) {
      Http.sleep(10);
    }
    long held = grantedAt >= made ? grantedAt + 350 - made : 400;
    Http.sleep(made + Math.max(400, held) - now());
    return 1;
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private static void submit(Cluster cluster) {
    int number = 0;
    while (submitting) {
      Cluster.Job job = new Cluster.Job();
      job.ref = String.format("run-%06d", ++number);
      job.bundle = "img-0" + (number % 3);
      if (number % 90 == 1) {
        job.pieces = 120;
        job.runMs = 30_000;
        job.guessS = 30;
        job.yard = "salto-norte";
        job.crew = "riesgo";
      } else {
        job.pieces = 2;
        job.runMs = 4000;
        job.guessS = 4;
        job.yard = "mvd-centro";
      }
      Http.THREADS.execute(() -> cluster.submit(job));
      Http.sleep(143);
    }
  }
}
