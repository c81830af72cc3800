import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A cancellation is confirmed although nothing of it is stored. */
final class Case4 extends Case {
  private static final String REF = "run-000412";
  private static final int SUBMITTED_AT = 0;
  private static final int CANCELLED_AT = 1;

  /** Less than the few hundred milliseconds that an answer of the state service may take. */
  private static final int SLOW_ANSWER_MILLIS = 300;

  private static final double LEAST_LATE_SECONDS = 2;
  private static final double MOST_LATE_SECONDS = 12;

  private String heldTransaction;
  private double heldSince;
  private boolean carriedOut;

  public static void main(String[] arguments) {
    start(new Case4(), arguments);
  }

  @Override
  Cluster.Options options() {
    return Cluster.Options.cardovia();
  }

  @Override
  boolean run(Cluster cluster) throws Exception {
    Store store = cluster.store;
    User user = new User(cluster);
    Http.Answer first = user.submit(0, user.job("run-000398", 8, 2, 12), 3);
    if (first == null || first.status() > 201) {
      throw new CannotRun("no job is accepted");
    }
    Thread.sleep(6000);

    if (trouble) {
      store.late = (node, request) -> hold(cluster, request);
    }
    store.latency =
        (node, request) -> {
          boolean endOfJob =
              node == CANCELLED_AT && request.path().equals("/keys/t/" + REF);
          if (endOfJob && carryOutIfDue(cluster, LEAST_LATE_SECONDS)) {
            return SLOW_ANSWER_MILLIS;
          }
          return endOfJob && !trouble ? SLOW_ANSWER_MILLIS : 2;
        };

    // The user gets no acceptance, gives the job up, and repeats the cancellation until it is
    // answered.
    user.submitOnce(SUBMITTED_AT, user.job(REF, 8, 2, 12), 3);
    double end = cluster.record.now() + 60;
    Http.Answer answer = null;
    while (!User.phase(answer).equals("cancelled") && !User.phase(answer).equals("done")) {
      if (cluster.record.now() > end) {
        throw new CannotRun("the cancellation was not answered in 60 s");
      }
      answer = user.cancelOnce(CANCELLED_AT, REF);
      carryOutIfDue(cluster, MOST_LATE_SECONDS);
      if (!User.phase(answer).equals("cancelled")) {
        Thread.sleep(answer == null ? 1000 : Math.max(1000, 1000L * answer.retryAfter()));
      }
    }
    String told = User.phase(answer);

    List<String> others = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      for (int node = 0; node < cluster.size(); node++) {
        Http.Answer now = user.poll(node, REF);
        if (now != null && now.status() == 200 && !User.phase(now).equals(told)) {
          others.add(cluster.name(node) + ": " + User.phase(now));
        }
      }
      Thread.sleep(3000);
    }
    Store.Entry stored = store.get("a/" + REF);
    cluster.record.add(
        "state: a/%s has cancelled = %s at the end",
        REF, stored == null ? "(no key)" : ((Map<?, ?>) stored.value()).get("cancelled"));
    cluster.record.add("check: told %s, then %d other answers %s", told, others.size(), others);
    return !others.isEmpty();
  }

  /** The transaction that stores the job gets no answer and is carried out later. */
  private synchronized boolean hold(Cluster cluster, Http.Request request) {
    if (heldTransaction != null
        || !request.path().equals("/commit")
        || !request.body().contains("\"set\":\"a/" + REF + "\"")) {
      return false;
    }
    heldTransaction = request.body();
    heldSince = cluster.record.now();
    cluster.record.add("state: the transaction that stores %s gets no answer", REF);
    return true;
  }

  private synchronized boolean carryOutIfDue(Cluster cluster, double afterSeconds) {
    if (heldTransaction == null
        || carriedOut
        || cluster.record.now() - heldSince < afterSeconds) {
      return false;
    }
    carriedOut = true;
    cluster.record.add(
        "state: that transaction is carried out, %.1f s late, status %d",
        cluster.record.now() - heldSince, cluster.store.execute(heldTransaction).status());
    return true;
  }
}
