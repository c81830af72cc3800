import java.io.IOException;
import java.util.Map;

/** A user: submits, asks and cancels at given nodes, and repeats as in PROTOCOL. */
final class User {
  private final Cluster cluster;

  User(Cluster cluster) {
    this.cluster = cluster;
  }

  /** A submission of a batch job of the deployment's team. */
  Map<String, Object> job(String ref, int pieces, double cpus, double ramGb) {
    return Json.map(
        "ref", ref, "lane", cluster.options.jobClass, "crew", cluster.options.team, "shape", "batch",
        "urgency", "standard", "pieces", pieces, "cpus", cpus, "cards", 0.0, "ram_gb", ramGb,
        "bundle", "img-01", "pull_gb", 0.0, "builds", null, "yard", null, "same_place", false,
        "spread", false, "loaner", true, "guess_s", 30.0, "snapshot_s", 0.0, "flush_s", 0.0,
        "due_s", 900.0);
  }

  /** Sends a request once, over a new connection; returns null if there is no answer. */
  Http.Answer send(int node, String method, String path, String body, int timeoutMillis) {
    Http.Client client = new Http.Client(cluster.publicPort(node));
    try {
      return client.call(method, path, body, timeoutMillis);
    } catch (IOException e) {
      return null;
    } finally {
      client.close();
    }
  }

  void log(int node, String what, Http.Answer answer) {
    cluster.record.add(
        "user: %s at %s -> %s",
        what,
        cluster.name(node),
        answer == null ? "no answer" : answer.status() + " " + answer.body());
  }

  /** Submits once. */
  Http.Answer submitOnce(int node, Map<String, Object> submission, double runSeconds) {
    cluster.jobs.submit(submission, runSeconds);
    Http.Answer answer = send(node, "POST", "/v2/runs", Json.write(submission), 5000);
    log(node, "submit " + submission.get("ref"), answer);
    return answer;
  }

  /** Submits until an answer is final, for up to 60 s, at one node after the other. */
  Http.Answer submit(int node, Map<String, Object> submission, double runSeconds)
      throws InterruptedException {
    double end = cluster.record.now() + 60;
    int at = node;
    while (true) {
      Http.Answer answer = submitOnce(at, submission, runSeconds);
      if (answer != null && (answer.status() <= 201 || answer.status() == 400 || answer.status() == 422)) {
        return answer;
      }
      if (cluster.record.now() > end) {
        return answer;
      }
      Thread.sleep(answer == null ? 1000 : Math.max(1000, 1000L * answer.retryAfter()));
      at = (at + 1) % cluster.size();
    }
  }

  Http.Answer poll(int node, String ref) {
    Http.Answer answer = send(node, "GET", "/v2/runs/" + ref, null, 2000);
    log(node, "ask " + ref, answer);
    return answer;
  }

  static String phase(Http.Answer answer) {
    return answer != null && answer.status() == 200
        ? (String) Json.object(answer.body()).get("phase")
        : "";
  }

  /** Cancels once. */
  Http.Answer cancelOnce(int node, String ref) {
    Http.Answer answer = send(node, "POST", "/v2/runs/" + ref + "/withdraw", "{}", 5000);
    log(node, "cancel " + ref, answer);
    if (phase(answer).equals("cancelled")) {
      cluster.jobs.cancelTold(ref);
    }
    return answer;
  }
}
