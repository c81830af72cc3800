import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** A waiting job about which no question is answered. */
final class Case5 extends Case {
  private static final int LEAVES = 130;
  private static final int MIDDLE_JOBS = 70;
  private static final String LAST = "run-003000";

  /** After this time without any answer a job counts as forgotten. */
  private static final double FORGOTTEN_SECONDS = 75;

  private static final double POLL_SECONDS = 5;

  public static void main(String[] arguments) {
    start(new Case5(), arguments);
  }

  @Override
  Cluster.Options options() {
    Cluster.Options options = Cluster.Options.cardovia();
    options.capacity = 4;
    if (trouble) {
      options.stateNext =
          "\n[cluster.state.next]\nrps = 200.0\nwrite_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 4\n";
    }
    return options;
  }

  private interface Maker {
    Map<String, Object> make(User user, int number);
  }

  /** Three users submit the jobs, each at a node of its own; returns the jobs' names. */
  private static List<String> submitAll(
      Cluster cluster, int count, double runSeconds, Maker maker) throws Exception {
    ExecutorService users = Executors.newFixedThreadPool(3);
    List<Future<?>> ends = new ArrayList<>();
    for (int k = 0; k < 3; k++) {
      int first = k;
      ends.add(
          users.submit(
              () -> {
                User user = new User(cluster);
                for (int i = first; i < count; i += 3) {
                  Http.Answer answer = user.submit(first, maker.make(user, i), runSeconds);
                  if (answer == null || answer.status() > 201) {
                    throw new CannotRun("a job is not accepted");
                  }
                }
                return null;
              }));
    }
    for (Future<?> end : ends) {
      end.get();
    }
    users.shutdown();
    List<String> names = new ArrayList<>();
    User anyone = new User(cluster);
    for (int i = 0; i < count; i++) {
      names.add((String) maker.make(anyone, i).get("ref"));
    }
    return names;
  }

  @Override
  boolean run(Cluster cluster) throws Exception {
    List<String> leaves =
        submitAll(
            cluster,
            LEAVES,
            200,
            (user, i) -> user.job(String.format("run-001%03d", i), 1, 4, 27));
    List<String> middle =
        submitAll(
            cluster,
            MIDDLE_JOBS,
            5,
            (user, i) -> {
              Map<String, Object> job = user.job(String.format("run-002%03d", i), 1, 4, 27);
              job.put("awaits", leaves);
              return job;
            });
    User user = new User(cluster);
    Map<String, Object> last = user.job(LAST, 1, 4, 27);
    last.put("awaits", middle);
    Http.Answer accepted = user.submit(0, last, 5);
    if (accepted == null || accepted.status() > 201) {
      throw new CannotRun("the last job is not accepted");
    }

    // A user asks every 5 s, at one node after the other, and others ask about their jobs.
    double askedSince = cluster.record.now();
    int answered = 0;
    int unanswered = 0;
    int othersAnswered = 0;
    int othersUnanswered = 0;
    for (int round = 0; cluster.record.now() - askedSince < FORGOTTEN_SECONDS + 1; round++) {
      double roundAt = cluster.record.now();
      for (int node = 0; node < cluster.size(); node++) {
        for (String ref : List.of(LAST, leaves.get(round % LEAVES), middle.get(round % MIDDLE_JOBS))) {
          Http.Answer answer = user.poll(node, ref);
          boolean ok = answer != null && answer.status() == 200;
          if (ref.equals(LAST)) {
            answered += ok ? 1 : 0;
            unanswered += ok ? 0 : 1;
          } else {
            othersAnswered += ok ? 1 : 0;
            othersUnanswered += ok ? 0 : 1;
          }
        }
      }
      double pause = POLL_SECONDS - (cluster.record.now() - roundAt);
      Thread.sleep(Math.max(1, (long) (1000 * pause)));
    }
    cluster.record.add(
        "check: %s answered %d times, unanswered %d times in %.0f s; other jobs %d and %d",
        LAST,
        answered,
        unanswered,
        cluster.record.now() - askedSince,
        othersAnswered,
        othersUnanswered);
    if (othersUnanswered > othersAnswered) {
      throw new CannotRun("most questions about other jobs are not answered either");
    }
    return answered == 0;
  }
}
