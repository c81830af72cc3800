package org.mulleinshift.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.mulleinshift.transport.HttpResponse;

/** Submits one job, repeats what failed, polls until it is over, and may cancel it. */
final class SimUser {
  /** The way to some healthy node. */
  interface Nodes {
    void request(String method, String path, String body, Consumer<HttpResponse> reply);
  }

  /** The way to one node. */
  interface Way {
    void request(
        SimNode node, String method, String path, String body, Consumer<HttpResponse> reply);
  }

  private static final double POLL_SECONDS = 5;
  private static final double ANSWER_SECONDS = 2;
  private static final double GIVE_UP_SECONDS = 60;

  private final World world;
  private final RuleBook rules;
  private final Nodes nodes;
  private final RuleBook.TrueJob job;
  private final ObjectMapper json = new ObjectMapper();
  private final List<Integer> statuses = new ArrayList<>();
  private boolean polling;
  private double pollSeconds = POLL_SECONDS;
  private int pollsAfterEnd = Integer.MAX_VALUE;

  SimUser(World world, RuleBook rules, Nodes nodes, RuleBook.TrueJob job) {
    this.world = world;
    this.rules = rules;
    this.nodes = nodes;
    this.job = job;
  }

  List<Integer> statuses() {
    return statuses;
  }

  String body() {
    ObjectNode body = json.createObjectNode();
    body.put("ref", job.id);
    body.put("lane", job.fields.getOrDefault("class", "work"));
    body.put("crew", job.fields.getOrDefault("team", "t"));
    body.put("shape", job.fields.getOrDefault("kind", "batch"));
    body.put("urgency", job.fields.getOrDefault("priority", "standard"));
    body.put("pieces", job.tasks);
    body.put("cpus", job.number("cpus", 1));
    body.put("cards", 0.0);
    body.put("ram_gb", job.number("ram", 1));
    body.put("bundle", job.fields.getOrDefault("image", "img-1"));
    body.put("pull_gb", 1.0);
    if (job.fields.containsKey("type")) {
      body.putArray("builds").add(job.fields.get("type"));
    }
    if (job.fields.containsKey("zone")) {
      body.put("yard", job.fields.get("zone"));
    }
    body.put("same_place", job.flag("one_zone", false));
    body.put("spread", job.flag("spread", false));
    body.put("loaner", job.flag("spot", true));
    body.put("guess_s", job.number("guess", job.number("run", 10)));
    body.put("snapshot_s", 0.0);
    body.put("flush_s", 0.0);
    if (!job.fields.getOrDefault("due", "").equals("none")) {
      body.put("due_s", job.number("due", 120));
    }
    if (!job.awaits.isEmpty()) {
      ArrayNode awaits = body.putArray("awaits");
      job.awaits.forEach(awaits::add);
    }
    return body.toString();
  }

  void submit() {
    job.submitted = true;
    job.submittedAt = world.seconds();
    attempt("POST", "/v2/runs", body(), world.seconds());
  }

  void resubmit(String body) {
    double asked = world.seconds();
    nodes.request("POST", "/v2/runs", body, reply -> hearAgain(reply, asked));
  }

  /** An answer to a repeated submission of the job, which was accepted. */
  void hearAgain(HttpResponse reply, double asked) {
    statuses.add(reply.status());
    if (reply.status() == 400 || reply.status() == 422) {
      rules.refused(job.id, reply.status());
    } else {
      hear(reply, asked);
    }
  }

  /** Asks so many times as often. */
  void pollFactor(double factor) {
    pollSeconds = POLL_SECONDS / factor;
  }

  /** Asks only so many times more once it was told that the job is over. */
  void pollsAfterEnd(int most) {
    pollsAfterEnd = most;
  }

  void cancel() {
    job.cancelAsked = true;
    attempt("POST", "/v2/runs/" + job.id + "/withdraw", "", world.seconds());
  }

  private void attempt(String method, String path, String body, double since) {
    boolean[] answered = new boolean[1];
    double asked = world.seconds();
    Runnable again =
        () -> {
          if (world.seconds() - since < GIVE_UP_SECONDS) {
            world.after(1, () -> attempt(method, path, body, since));
          }
        };
    nodes.request(
        method,
        path,
        body,
        reply -> {
          if (answered[0]) {
            return;
          }
          answered[0] = true;
          statuses.add(reply.status());
          hear(reply, asked);
          boolean certain = reply.status() == 400 || reply.status() == 422;
          if (reply.status() == 200 || reply.status() == 201) {
            startPolling();
          } else if (!certain) {
            again.run();
          }
        });
    world.after(
        5,
        () -> {
          if (!answered[0]) {
            answered[0] = true;
            again.run();
          }
        });
  }

  private void startPolling() {
    if (!polling) {
      polling = true;
      world.after(POLL_SECONDS * world.random(), this::poll);
    }
  }

  /** One poll at a time; a response that takes longer than the user waits is not heard. */
  private void poll() {
    if (job.overAt != null && pollsAfterEnd-- <= 0) {
      return;
    }
    boolean[] over = new boolean[1];
    double asked = world.seconds();
    Runnable next =
        () -> {
          over[0] = true;
          // Polls go on after the end: the final state must be kept.
          world.after(pollSeconds, this::poll);
        };
    nodes.request(
        "GET",
        "/v2/runs/" + job.id,
        "",
        reply -> {
          if (!over[0]) {
            hear(reply, asked);
            next.run();
          }
        });
    world.after(
        ANSWER_SECONDS,
        () -> {
          if (!over[0]) {
            next.run();
          }
        });
  }

  /**
   * An answer about the job.
   *
   * @param asked when the question was sent
   */
  void hear(HttpResponse reply, double asked) {
    String phase = "";
    try {
      JsonNode node = json.readTree(reply.body().isEmpty() ? "{}" : reply.body());
      phase = node.path("phase").asText();
    } catch (IOException e) {
      phase = "unreadable";
    }
    rules.told(job.id, asked, reply.status(), phase);
  }
}
