import java.io.IOException;
import java.net.Socket;

/** A controller that has just started confirms a cancellation that no owner knows of. */
final class Case6 extends Case {
  private static final int ROUNDS = 3;

  /** A command that was on its way when the user was told has arrived by then. */
  private static final double ON_ITS_WAY_SECONDS = 0.1;

  /** An answer of the state service occasionally takes a few hundred milliseconds. */
  private static final int SLOW_ANSWER_MILLIS = 300;

  public static void main(String[] arguments) {
    start(new Case6(), arguments);
  }

  @Override
  Cluster.Options options() {
    return Cluster.Options.sofia();
  }

  @Override
  boolean run(Cluster cluster) throws Exception {
    User user = new User(cluster);
    User other = new User(cluster);
    int small = 0;
    for (int round = 0; round < ROUNDS; round++) {
      String ref = String.format("run-0001%02d", round);
      user.submit(0, user.job(ref, 20_000, 1, 1), 0.7);
      int runningBefore = 0;
      for (int i = 0; i < 200 && runningBefore < 50; i++) {
        Thread.sleep(100);
        runningBefore = cluster.jobs.running(ref);
      }
      if (runningBefore < 50) {
        throw new CannotRun("the job does not run");
      }
      Thread.sleep(3000);
      int leader = cluster.leader();
      if (leader < 0) {
        throw new CannotRun("no leader");
      }
      int restarted = (leader + 1) % cluster.size();
      int elsewhere = (leader + 2) % cluster.size();
      cluster.store.latency =
          (node, request) ->
              node == restarted
                      && request.path().equals("/keys")
                      && "c/".equals(request.query().get("starts"))
                  ? SLOW_ANSWER_MILLIS
                  : 3;
      if (trouble) {
        cluster.kill(restarted);
        cluster.start(restarted);
        awaitConnection(cluster, restarted);
      }
      // Another user submits two jobs of a pipeline one after the other.
      for (int k = 0; k < 2; k++) {
        other.submitOnce(elsewhere, other.job(String.format("run-0002%02d", small++), 1, 1, 1), 5);
      }
      Http.Answer answer = null;
      double end = cluster.record.now() + 30;
      while (!User.phase(answer).equals("cancelled")) {
        if (cluster.record.now() > end) {
          throw new CannotRun("the cancellation was not answered in 30 s");
        }
        answer = user.cancelOnce(restarted, ref);
        if (!User.phase(answer).equals("cancelled")) {
          Thread.sleep(answer == null ? 1000 : Math.max(1000, 1000L * answer.retryAfter()));
        }
      }
      Thread.sleep(3000);
      cluster.record.add(
          "check: round %d, %d starts after cancellations so far, the latest %.3f s after",
          round, cluster.jobs.startsAfterCancel(), cluster.jobs.latestStartAfterCancel());
      if (cluster.jobs.latestStartAfterCancel() > ON_ITS_WAY_SECONDS) {
        return true;
      }
    }
    return false;
  }

  /** Waits until the node takes connections: from then on the load balancer may choose it. */
  private static void awaitConnection(Cluster cluster, int node) throws InterruptedException {
    double end = cluster.record.now() + 20;
    while (cluster.record.now() < end) {
      try (Socket socket = new Socket("127.0.0.1", cluster.publicPort(node))) {
        cluster.record.add(
            "process: %s takes connections again, %s", cluster.name(node), socket.isConnected());
        return;
      } catch (IOException e) {
        Thread.sleep(5);
      }
    }
    throw new CannotRun("the node does not come back");
  }
}
