import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A cancellation that is never answered once the state service has lowered its limits. */
final class Case7 extends Case {
  private static final String REF = "run-000412";
  private static final int BUILDS = 64;

  /** For so long a user repeats a request. */
  private static final double RETRY_SECONDS = 60;

  private final Cluster.Options options = Cluster.Options.cardovia();

  public static void main(String[] arguments) {
    start(new Case7(), arguments);
  }

  @Override
  Cluster.Options options() {
    return options;
  }

  @Override
  boolean run(Cluster cluster) throws Exception {
    User user = new User(cluster);
    Map<String, Object> job = user.job(REF, 4, 2, 12);
    List<String> builds = new ArrayList<>(List.of("pampa-16"));
    for (int i = 1; i < BUILDS; i++) {
      builds.add(String.format("pampa-highmem-gen%02d-16cpu", i));
    }
    job.put("builds", builds);
    Http.Answer accepted = user.submit(0, job, 300);
    if (accepted == null || accepted.status() > 201) {
      throw new CannotRun("the job is not accepted");
    }
    for (int i = 0; i < 200 && cluster.jobs.running(REF) == 0; i++) {
      Thread.sleep(100);
    }
    if (cluster.jobs.running(REF) == 0) {
      throw new CannotRun("the job does not run");
    }

    // All controllers are restarted one after the other; the new settings announce limits, which
    // then come.
    if (trouble) {
      options.stateNext =
          "\n[cluster.state.next]\nrps = 200.0\nwrite_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 4\n";
    }
    for (int node = 0; node < cluster.size(); node++) {
      cluster.kill(node);
      Thread.sleep(3000);
      cluster.start(node);
      for (int i = 0; i < 100 && !cluster.isReady(node); i++) {
        Thread.sleep(100);
      }
      Thread.sleep(2000);
    }
    if (trouble) {
      cluster.store.valueKb = 2;
      cluster.store.txnOps = 4;
      cluster.store.writeRps = 28;
      cluster.record.add("state: the limits have come");
    }
    Thread.sleep(2000);

    double end = cluster.record.now() + RETRY_SECONDS;
    boolean answered = false;
    for (int node = 0; !answered && cluster.record.now() < end; node = (node + 1) % cluster.size()) {
      Http.Answer answer = user.cancelOnce(node, REF);
      answered = User.phase(answer).equals("cancelled") || User.phase(answer).equals("done");
      if (!answered) {
        Thread.sleep(answer == null ? 1000 : Math.max(1000, 1000L * answer.retryAfter()));
      }
    }
    user.poll(0, REF);
    cluster.record.add(
        "check: the cancellation was answered: %s; %d tasks of the job run",
        answered, cluster.jobs.running(REF));
    return !answered;
  }
}
