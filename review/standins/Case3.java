import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * A job waits for 65 jobs that each wait for 150 others, in a deployment whose state service will
 * lower its limits: the lists of names are stored apart from the jobs' records.
 */
final class Case3 {
  private static final int ROOTS = 150;
  private static final int MIDDLE = 65;
  private static final double SECONDS = 90;
  private static Cluster cluster;
  private static int number;

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]);
    Path folder = Path.of(args[1]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    cluster = new Cluster(root, folder, 1);
    int code = 2;
    try {
      code = run(trouble);
    } catch (Exception e) {
      e.printStackTrace();
      cluster.record.line("could not run: " + e);
    }
    for (String broken : cluster.record.broken()) {
      System.out.println(broken);
    }
    System.out.println("exit " + code);
    cluster.stop();
    System.exit(code);
  }

  private static Cluster.Job job(double cpus, List<String> awaits) {
    Cluster.Job job = new Cluster.Job();
    job.ref = String.format("run-%06d", ++number);
    job.cpus = cpus;
    job.runMs = 600_000;
    job.guessS = 600;
    job.dueS = 0;
    job.awaits = awaits;
    return job;
  }

  private static List<String> submitAll(List<Cluster.Job> jobs) throws InterruptedException {
    List<String> accepted = new ArrayList<>();
    CountDownLatch left = new CountDownLatch(jobs.size());
    int users = 8;
    for (int user = 0; user < users; user++) {
      int first = user;
      Http.THREADS.execute(
          () -> {
            for (int i = first; i < jobs.size(); i += users) {
              if (cluster.submit(jobs.get(i))) {
                synchronized (accepted) {
                  accepted.add(jobs.get(i).ref);
                }
              }
              left.countDown();
            }
          });
    }
    left.await();
    return accepted;
  }

  private static int run(boolean trouble) throws Exception {
    cluster.cloud.addUp("mvd-centro");
    cluster.cloud.addUp("salto-norte");
    if (trouble) {
      cluster.moreSettings =
          "[cluster.state.next]\nrps = 200.0\nwrite_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 4\n";
    }
    for (int i = 0; i < 3; i++) {
      cluster.startNode(i);
    }
    for (int i = 0; i < 3; i++) {
      if (!cluster.awaitReady(i, 20)) {
        return 2;
      }
    }
    List<Cluster.Job> roots = new ArrayList<>();
    for (int i = 0; i < ROOTS; i++) {
      roots.add(job(16, List.of()));
    }
    List<String> rootNames = submitAll(roots);
    List<Cluster.Job> middle = new ArrayList<>();
    for (int i = 0; i < MIDDLE; i++) {
      middle.add(job(1, rootNames));
    }
    List<String> middleNames = submitAll(middle);
    Cluster.Job last = job(1, middleNames);
    if (rootNames.size() < ROOTS || middleNames.size() < MIDDLE || !cluster.submit(last)) {
      cluster.record.line("not all jobs were accepted");
      return 2;
    }
    if (trouble) {
      cluster.store.lower(28, 4, 2048);
    }
    return poll(last, rootNames, middleNames);
  }

  private static int poll(Cluster.Job last, List<String> roots, List<String> middle) {
    double begun = Record.seconds();
    int answered = 0;
    int asked = 0;
    int othersAnswered = 0;
    int othersAsked = 0;
    double askedAt = begun;
    for (int round = 0; askedAt < begun + SECONDS; round++) {
      askedAt = Record.seconds();
      Http.Answer answer = cluster.poll(round % 3, last.ref);
      asked++;
      answered += answer.status() == 200 ? 1 : 0;
      cluster.record.line(
          "user: " + last.ref + " at " + Cluster.label(round % 3) + " " + answer.status()
              + answer.body());
      for (String other : List.of(roots.get(round), middle.get(round))) {
        Http.Answer one = cluster.poll((round + 1) % 3, other);
        othersAsked++;
        othersAnswered += one.status() == 200 ? 1 : 0;
        cluster.record.line("user: " + other + " " + one.status() + one.body());
      }
      Http.sleep(3000);
    }
    String counts =
        last.ref + " answered " + answered + " of " + asked + " polls in "
            + (int) (askedAt - begun) + " s, others " + othersAnswered + " of "
            + othersAsked;
    cluster.record.line(counts);
    System.out.println(counts);
    if (2 * othersAnswered <= othersAsked) {
      return 2;
    }
    if (answered == 0) {
      cluster.record.broken("forgotten", counts);
    }
    return answered == 0 ? 1 : 0;
  }
}
