import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A repeated submission of an accepted job gets 400 once the limits that come are announced. */
final class Case5 extends Case {
  private static final String REF = "run-000412";
  private static final int BUILDS = 64;

  private final Cluster.Options options = Cluster.Options.cardovia();

  public static void main(String[] arguments) {
    start(new Case5(), arguments);
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
    Http.Answer accepted = user.submit(0, job, 2);
    if (accepted == null || accepted.status() > 201) {
      throw new CannotRun("the job is not accepted");
    }
    Http.Answer state = null;
    for (int i = 0; i < 40 && !User.phase(state).equals("done"); i++) {
      Thread.sleep(1000);
      state = user.poll(i % cluster.size(), REF);
    }
    if (!User.phase(state).equals("done")) {
      throw new CannotRun("the job is not done");
    }

    // All controllers are restarted one after the other; the new settings announce limits.
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

    boolean broken = false;
    for (int node = 0; node < cluster.size(); node++) {
      Http.Answer repeated = user.submitOnce(node, job, 2);
      broken |= repeated != null && (repeated.status() == 400 || repeated.status() == 422);
    }
    for (int node = 0; node < cluster.size(); node++) {
      user.poll(node, REF);
    }
    cluster.record.add("check: a repeated submission got 400 or 422: %s", broken);
    return broken;
  }
}
