package org.mulleinshift.scenario;

import static org.mulleinshift.scenario.ScenarioLine.FOURTH;
import static org.mulleinshift.scenario.ScenarioLine.THIRD;

import java.util.Map;
import org.mulleinshift.simulation.InvalidRequests;
import org.mulleinshift.simulation.ReadsAfterChange;
import org.mulleinshift.simulation.SimulatedCluster;
import org.mulleinshift.simulation.SimulatedUser;

/** Commands that make users send further requests: reads, repeated and invalid requests. */
final class RequestCommands {
  private static final int NOT_FOUND = 404;
  private static final int LONG_REFERENCE = 40_000;

  private final ScenarioContext context;
  private final SimulatedCluster cluster;
  private final Map<String, SimulatedUser> users;

  RequestCommands(ScenarioContext context, CommandTable table) {
    this.context = context;
    this.cluster = context.cluster();
    this.users = cluster.users();
    ReadsAfterChange reads =
        new ReadsAfterChange(context.timeline(), users, cluster.controllers(), cluster::sendTo);
    context.checker().reportedPhases().onAcceptedOrEnded(reads::jobChanged);
    InvalidRequests invalid =
        new InvalidRequests(context.timeline(), context.checker(), users, cluster::sendToAny);
    table.add("poll", line -> pollUnknown(line.word(1)));
    table.add("ask", this::ask);
    table.addFault("polls", line -> pollMore(line.number(1), line.number(2)));
    table.add("close-looks", line -> reads.during(line.number(1), line.number(2)));
    table.add("odd-requests", line -> invalid.during(line.number(1)));
  }

  /** {@code poll ID}: a job that was never submitted must not be found. */
  private void pollUnknown(String id) {
    if (users.containsKey(id)) {
      return;
    }
    cluster.sendToAny(
        "GET",
        "/v2/runs/" + id,
        "",
        reply -> {
          if (reply.status() != NOT_FOUND) {
            context.failures().add(id + " was never submitted but got " + reply.status());
          }
        });
  }

  /**
   * {@code ask POST /v2/runs 400 {"ref":1}}: sends the request to some controller, which must
   * respond with this status.
   */
  private void ask(ScenarioLine line) {
    String body = line.skip(FOURTH).toString();
    int expectedStatus = line.integer(THIRD);
    cluster.sendToAny(
        line.word(1),
        line.word(2),
        body.equals("LONG") ? "{\"ref\":\"" + "x".repeat(LONG_REFERENCE) + "\"}" : body,
        reply -> {
          if (reply.status() != expectedStatus) {
            context.failures().add(line + " got " + reply.status() + " " + reply.body());
          }
        });
  }

  /** {@code polls FACTOR SECONDS}: the users of all jobs so far poll this many times as often. */
  private void pollMore(double factor, double seconds) {
    users.values().forEach(user -> user.multiplyPollRate(factor));
    context
        .timeline()
        .after(seconds, () -> users.values().forEach(user -> user.multiplyPollRate(1)));
  }
}
