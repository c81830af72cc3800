package org.mulleinshift.simulation;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.mulleinshift.invariants.InvariantChecker;
import org.mulleinshift.invariants.ObservedJob;
import org.mulleinshift.simulation.time.Timeline;
import org.mulleinshift.transport.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Submits one job, retries what failed, polls until it has ended, and may cancel it. */
public final class SimulatedUser {
  private static final Logger LOG = LoggerFactory.getLogger(SimulatedUser.class);
  private static final String JOBS_PATH = "/v2/runs";
  private static final double POLL_SECONDS = 5;
  private static final double POLL_TIMEOUT_SECONDS = 2;
  private static final double REQUEST_TIMEOUT_SECONDS = 5;
  private static final double RETRY_SECONDS = 1;
  private static final double MAX_RETRY_SECONDS = 60;

  private final Timeline timeline;
  private final InvariantChecker checker;
  private final ControllerClient client;
  private final ObservedJob job;
  private final ObjectMapper json = new ObjectMapper();
  private boolean polling;
  private double pollSeconds = POLL_SECONDS;
  private int pollsAfterEnd = Integer.MAX_VALUE;

  /** A user who has not submitted the job yet. */
  public SimulatedUser(
      Timeline timeline, InvariantChecker checker, ControllerClient client, ObservedJob job) {
    this.timeline = timeline;
    this.checker = checker;
    this.client = client;
    this.job = job;
  }

  /** A request that is sent until it gets a certain answer or a minute has passed. */
  private record RetriedRequest(String path, String body, double firstSentAt) {}

  /** Whether one of the reply and the timeout has come. */
  private static final class Outcome {
    private boolean known;

    /** True for the first to ask, which is the one that counts. */
    boolean claim() {
      boolean first = !known;
      known = true;
      return first;
    }
  }

  /** The body of the job's submission. */
  public String body() {
    return JobRequestBody.of(job);
  }

  /** Submits the job and polls it from then on. */
  public void submit() {
    job.submit(timeline.seconds());
    attempt(new RetriedRequest(JOBS_PATH, body(), timeline.seconds()));
  }

  /** Submits the job once more, with this body. */
  public void resubmit(String body) {
    double askedAt = timeline.seconds();
    client.request("POST", JOBS_PATH, body, reply -> receiveResubmission(reply, askedAt));
  }

  /** A reply to a repeated submission of the job, which was accepted. */
  void receiveResubmission(HttpResponse reply, double askedAt) {
    if (isRejection(reply)) {
      checker.reportedPhases().rejected(job.id(), reply.status());
    } else {
      receive(reply, askedAt);
    }
  }

  private static boolean isRejection(HttpResponse reply) {
    return reply.status() == HttpStatus.BAD_REQUEST || reply.status() == HttpStatus.UNPROCESSABLE;
  }

  /** Polls so many times as often. */
  public void pollFactor(double factor) {
    pollSeconds = POLL_SECONDS / factor;
  }

  /** Polls only so many times more once the job was reported as ended. */
  public void pollsAfterEnd(int max) {
    pollsAfterEnd = max;
  }

  /** Asks for the job's cancellation. */
  public void cancel() {
    job.requestCancellation();
    attempt(new RetriedRequest(cancelPath(), "", timeline.seconds()));
  }

  String path() {
    return JOBS_PATH + "/" + job.id();
  }

  String cancelPath() {
    return path() + "/withdraw";
  }

  private void attempt(RetriedRequest request) {
    Outcome outcome = new Outcome();
    double askedAt = timeline.seconds();
    client.request(
        "POST",
        request.path(),
        request.body(),
        reply -> {
          if (outcome.claim()) {
            receiveAttempt(request, reply, askedAt);
          }
        });
    timeline.after(
        REQUEST_TIMEOUT_SECONDS,
        () -> {
          if (outcome.claim()) {
            retry(request);
          }
        });
  }

  private void receiveAttempt(RetriedRequest request, HttpResponse reply, double askedAt) {
    receive(reply, askedAt);
    if (reply.status() == HttpStatus.OK || reply.status() == HttpStatus.CREATED) {
      startPolling();
    } else if (!isRejection(reply)) {
      retry(request);
    }
  }

  private void retry(RetriedRequest request) {
    if (timeline.seconds() - request.firstSentAt() < MAX_RETRY_SECONDS) {
      timeline.after(RETRY_SECONDS, () -> attempt(request));
    }
  }

  private void startPolling() {
    if (!polling) {
      polling = true;
      timeline.after(POLL_SECONDS * timeline.random(), this::poll);
    }
  }

  /** One poll at a time; a reply that takes longer than the user waits is ignored. */
  private void poll() {
    if (job.terminalAt().isPresent() && pollsAfterEnd-- <= 0) {
      return;
    }
    Outcome outcome = new Outcome();
    double askedAt = timeline.seconds();
    client.request(
        "GET",
        path(),
        "",
        reply -> {
          if (outcome.claim()) {
            receive(reply, askedAt);
            schedulePoll();
          }
        });
    timeline.after(
        POLL_TIMEOUT_SECONDS,
        () -> {
          if (outcome.claim()) {
            schedulePoll();
          }
        });
  }

  /** Polls go on after the end: the final phase must be kept. */
  private void schedulePoll() {
    timeline.after(pollSeconds, this::poll);
  }

  /**
   * A reply about the job.
   *
   * @param askedAt when the request was sent, seconds
   */
  void receive(HttpResponse reply, double askedAt) {
    if (LOG.isDebugEnabled()) {
      LogOrigin.enter("user", timeline.seconds());
      LOG.debug(
          "answered, job={} asked_at={} status={} phase={}",
          job.id(),
          askedAt,
          reply.status(),
          phaseIn(reply));
    }
    checker.reportedPhases().responseReceived(job.id(), askedAt, reply.status(), phaseIn(reply));
  }

  private String phaseIn(HttpResponse reply) {
    try {
      String body = reply.body().isEmpty() ? "{}" : reply.body();
      return json.readTree(body).path("phase").asText();
    } catch (IOException e) {
      return "unreadable";
    }
  }
}
