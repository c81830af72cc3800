package org.mulleinshift.sim;

import java.util.List;
import java.util.Map;

/**
 * Users who ask at all nodes, again and again within milliseconds, right after a job was accepted,
 * was over or was confirmed as cancelled, and repeat the submission and the cancellation among it.
 */
final class CloseLooks {
  private static final double[] OFFSETS = {0, 0.002, 0.006, 0.015, 0.04, 0.12, 0.4, 1};
  private static final int SUBMITS_AGAIN = 3;
  private static final int CANCELS_AGAIN = 5;

  private final World world;
  private final Map<String, SimUser> users;
  private final List<SimNode> nodes;
  private final SimUser.Way way;
  private double until;
  private double cancelShare;

  CloseLooks(World world, Map<String, SimUser> users, List<SimNode> nodes, SimUser.Way way) {
    this.world = world;
    this.users = users;
    this.nodes = nodes;
    this.way = way;
  }

  /** From now on for a while; that share of jobs is cancelled as soon as it is accepted. */
  void during(double seconds, double share) {
    until = world.seconds() + seconds;
    cancelShare = share;
  }

  /** A user was told something new of the job. */
  void news(RuleBook.TrueJob job) {
    if (world.seconds() >= until) {
      return;
    }
    SimUser user = users.get(job.id);
    if (job.overAt == null && world.random() < cancelShare) {
      user.cancel();
    }
    for (int i = 0; i < OFFSETS.length; i++) {
      int look = i;
      world.after(OFFSETS[i], () -> nodes.forEach(node -> look(look, job, user, node)));
    }
  }

  private void look(int number, RuleBook.TrueJob job, SimUser user, SimNode node) {
    if (!node.alive()) {
      return;
    }
    double asked = world.seconds();
    String path = "/v2/runs/" + job.id;
    if (number == SUBMITS_AGAIN) {
      way.request(node, "POST", "/v2/runs", user.body(), reply -> user.hearAgain(reply, asked));
    } else if (number == CANCELS_AGAIN && job.overAt != null) {
      // A job that is over stays what it was.
      way.request(node, "POST", path + "/withdraw", "", reply -> user.hear(reply, asked));
    } else {
      way.request(node, "GET", path, "", reply -> user.hear(reply, asked));
    }
  }
}
