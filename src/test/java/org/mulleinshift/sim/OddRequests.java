package org.mulleinshift.sim;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Users who repeat submissions of unfinished jobs, cancel jobs that are done, and send jobs that
 * can't run or lack a field.
 */
final class OddRequests {
  private static final double EVERY = 0.4;
  private static final List<String> REQUIRED =
      List.of(
          "ref",
          "lane",
          "crew",
          "shape",
          "urgency",
          "pieces",
          "cpus",
          "cards",
          "ram_gb",
          "bundle",
          "pull_gb",
          "same_place",
          "spread",
          "loaner",
          "guess_s",
          "snapshot_s",
          "flush_s");

  /** Nothing certain was said of the request. */
  private static final Set<Integer> NO_WORD = Set.of(0, 429, 503);

  private final World world;
  private final RuleBook rules;
  private final Map<String, SimUser> users;
  private final SimUser.Nodes nodes;
  private final ObjectMapper json = new ObjectMapper();
  private double until;
  private int number;

  OddRequests(World world, RuleBook rules, Map<String, SimUser> users, SimUser.Nodes nodes) {
    this.world = world;
    this.rules = rules;
    this.users = users;
    this.nodes = nodes;
  }

  void during(double seconds) {
    until = world.seconds() + seconds;
    next();
  }

  private void next() {
    if (world.seconds() >= until) {
      return;
    }
    world.after(EVERY, this::next);
    List<RuleBook.TrueJob> known = rules.jobs().stream().filter(job -> job.accepted).toList();
    if (known.isEmpty()) {
      return;
    }
    RuleBook.TrueJob job = known.get((int) (world.random() * known.size()));
    SimUser user = users.get(job.id);
    double asked = world.seconds();
    switch (number++ % 3) {
      case 0 ->
          nodes.request("POST", "/v2/runs", user.body(), reply -> user.hearAgain(reply, asked));
      case 1 -> {
        if (job.toldDoneAt != null) {
          String path = "/v2/runs/" + job.id + "/withdraw";
          nodes.request("POST", path, "", reply -> user.hear(reply, asked));
        }
      }
      default -> sendUnfit(user.body());
    }
  }

  private void sendUnfit(String body) {
    ObjectNode unfit = parse(body);
    unfit.put("ref", "run-unfit-" + number);
    int kind = (int) (world.random() * (REQUIRED.size() + 4));
    if (kind < REQUIRED.size()) {
      unfit.remove(REQUIRED.get(kind));
    } else {
      switch (kind - REQUIRED.size()) {
        case 0 -> unfit.put("cpus", 10_000.0);
        case 1 -> unfit.put("crew", "nobody");
        case 2 -> unfit.put("pieces", 0);
        default -> unfit.putArray("builds").add("no-such-type");
      }
    }
    int wanted = kind < REQUIRED.size() || kind == REQUIRED.size() + 2 ? 400 : 422;
    nodes.request(
        "POST",
        "/v2/runs",
        unfit.toString(),
        reply -> {
          if (reply.status() != wanted && !NO_WORD.contains(reply.status())) {
            rules.violated("unfit", unfit + " got " + reply.status());
          }
        });
  }

  private ObjectNode parse(String body) {
    try {
      return (ObjectNode) json.readTree(body);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
