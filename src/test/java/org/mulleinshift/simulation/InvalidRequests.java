package org.mulleinshift.simulation;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mulleinshift.invariants.InvariantChecker;
import org.mulleinshift.invariants.ObservedJob;
import org.mulleinshift.invariants.Rule;
import org.mulleinshift.simulation.time.Timeline;

/**
 * Simulates users who resubmit accepted jobs, cancel completed jobs, and submit jobs that lack a
 * required field or cannot run.
 */
public final class InvalidRequests {
  private static final double INTERVAL_SECONDS = 0.4;
  private static final double CPUS_OF_NO_MACHINE = 10_000;
  private static final int KINDS_OF_REQUESTS = 3;
  private static final int KINDS_OF_VALUES = 4;
  private static final int INVALID_TASK_COUNT = 2;
  private static final List<String> REQUIRED_FIELDS =
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

  /** Statuses that do not tell whether the request was valid; 0 means that no response came. */
  private static final Set<Integer> UNCERTAIN_STATUSES =
      Set.of(0, HttpStatus.TOO_MANY_REQUESTS, HttpStatus.UNAVAILABLE);

  private final Timeline timeline;
  private final InvariantChecker checker;
  private final Map<String, SimulatedUser> users;
  private final ControllerClient client;
  private final ObjectMapper json = new ObjectMapper();
  private double activeUntil;
  private int requestNumber;

  /** Sends nothing until {@link #during} is called. */
  public InvalidRequests(
      Timeline timeline,
      InvariantChecker checker,
      Map<String, SimulatedUser> users,
      ControllerClient client) {
    this.timeline = timeline;
    this.checker = checker;
    this.users = users;
    this.client = client;
  }

  /** Sends such requests for {@code seconds}. */
  public void during(double seconds) {
    activeUntil = timeline.seconds() + seconds;
    sendNext();
  }

  private void sendNext() {
    if (timeline.seconds() >= activeUntil) {
      return;
    }
    timeline.after(INTERVAL_SECONDS, this::sendNext);
    List<ObservedJob> accepted =
        checker.jobs().all().stream().filter(ObservedJob::accepted).toList();
    if (accepted.isEmpty()) {
      return;
    }
    ObservedJob job = accepted.get((int) (timeline.random() * accepted.size()));
    SimulatedUser user = users.get(job.id());
    switch (requestNumber++ % KINDS_OF_REQUESTS) {
      case 0 -> user.resubmit(user.submissionBody());
      case 1 -> cancelIfDone(job, user);
      default -> sendInvalid(user.submissionBody());
    }
  }

  private void cancelIfDone(ObservedJob job, SimulatedUser user) {
    if (job.doneAt().isPresent()) {
      double askedAt = timeline.seconds();
      client.request("POST", user.cancelPath(), "", reply -> user.receiveReply(reply, askedAt));
    }
  }

  private void sendInvalid(String validBody) {
    ObjectNode body = parse(validBody);
    body.put("ref", "run-unfit-" + requestNumber);
    int kind = (int) (timeline.random() * (REQUIRED_FIELDS.size() + KINDS_OF_VALUES));
    int expectedStatus = makeInvalid(body, kind);
    client.request(
        "POST",
        "/v2/runs",
        body.toString(),
        reply -> {
          if (reply.status() != expectedStatus && !UNCERTAIN_STATUSES.contains(reply.status())) {
            checker.violations().add(Rule.UNFIT, body + " got " + reply.status());
          }
        });
  }

  /** Makes the body invalid in the way selected by {@code kind}; returns the expected status. */
  private static int makeInvalid(ObjectNode body, int kind) {
    if (kind < REQUIRED_FIELDS.size()) {
      body.remove(REQUIRED_FIELDS.get(kind));
      return HttpStatus.BAD_REQUEST;
    }
    switch (kind - REQUIRED_FIELDS.size()) {
      case 0 -> body.put("cpus", CPUS_OF_NO_MACHINE);
      case 1 -> body.put("crew", "nobody");
      case INVALID_TASK_COUNT -> {
        body.put("pieces", 0);
        return HttpStatus.BAD_REQUEST;
      }
      default -> body.putArray("builds").add("no-such-type");
    }
    return HttpStatus.UNPROCESSABLE;
  }

  private ObjectNode parse(String body) {
    try {
      return (ObjectNode) json.readTree(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
