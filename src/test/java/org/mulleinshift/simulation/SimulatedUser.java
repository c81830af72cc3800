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
  private int remainingPollsAfterEnd = Integer.MAX_VALUE;

  /** Creates a user who has not submitted the job yet. */
  public SimulatedUser(
      Timeline timeline, InvariantChecker checker, ControllerClient client, ObservedJob job) {
    this.timeline = timeline;
    this.checker = checker;
    this.client = client;
    this.job = job;
  }

  /** A request that is repeated until it has a definite response or a minute has passed. */
  private record RetriedRequest(String path, String body, double firstSentAt) {}

  /** Ensures that only the first of a request's reply and its timeout takes effect. */
  private static final class Outcome {
    private boolean known;

    /** Returns true for the first caller only. */
    boolean claim() {
      boolean first = !known;
      known = true;
      return first;
    }
  }

  /** The body of the request that submits the job. */
  public String submissionBody() {
    return JobRequestBody.of(job);
  }

  /** Submits the job and polls it once it is accepted. */
  public void submit() {
    job.submit(timeline.seconds());
    attempt(new RetriedRequest(JOBS_PATH, submissionBody(), timeline.seconds()));
  }

  /** Repeats the submission with the given body; a rejection is reported to the checker. */
  public void resubmit(String body) {
    double askedAt = timeline.seconds();
    client.request("POST", JOBS_PATH, body, reply -> receiveResubmission(reply, askedAt));
  }

  /** Handles the reply to a repeated submission of a job that was accepted before. */
  void receiveResubmission(HttpResponse reply, double askedAt) {
    if (isRejection(reply)) {
      checker.reportedPhases().rejected(job.id(), reply.status());
    } else {
      receiveReply(reply, askedAt);
    }
  }

  private static boolean isRejection(HttpResponse reply) {
    return reply.status() == HttpStatus.BAD_REQUEST || reply.status() == HttpStatus.UNPROCESSABLE;
  }

  /** Makes the user poll {@code factor} times as often as by default. */
  public void multiplyPollRate(double factor) {
    pollSeconds = POLL_SECONDS / factor;
  }

  /** Limits the number of polls after the job was reported as ended. */
  public void limitPollsAfterEnd(int max) {
    remainingPollsAfterEnd = max;
  }

  /** Requests the job's cancellation, with retries. */
  public void cancel() {
    job.requestCancellation();
    attempt(new RetriedRequest(cancelPath(), "", timeline.seconds()));
  }

  String jobPath() {
    return JOBS_PATH + "/" + job.id();
  }

  String cancelPath() {
    return jobPath() + "/withdraw";
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
    receiveReply(reply, askedAt);
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

  /**
   * Sends one poll; the next follows its reply or its timeout. A reply after the timeout is
   * ignored.
   */
  private void poll() {
    if (job.terminalAt().isPresent() && remainingPollsAfterEnd-- <= 0) {
      return;
    }
    Outcome outcome = new Outcome();
    double askedAt = timeline.seconds();
    client.request(
        "GET",
        jobPath(),
        "",
        reply -> {
          if (outcome.claim()) {
            receiveReply(reply, askedAt);
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

  /** Polling continues after the job has ended, to check that its final phase does not change. */
  private void schedulePoll() {
    timeline.after(pollSeconds, this::poll);
  }

  /**
   * Reports a reply about the job to the checker.
   *
   * @param askedAt when the request was sent, in seconds of simulated time
   */
  void receiveReply(HttpResponse reply, double askedAt) {
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
