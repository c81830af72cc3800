package org.mulleinshift.simulation;

import java.util.List;
import java.util.Map;
import org.mulleinshift.invariants.ObservedJob;
import org.mulleinshift.simulation.time.Timeline;

/**
 * Simulates users who read a job at all controllers several times within a second right after it
 * was accepted, ended or was confirmed as cancelled, and who repeat the submission and the
 * cancellation in between.
 */
public final class ReadsAfterChange {
  private static final double[] DELAYS_SECONDS = {0, 0.002, 0.006, 0.015, 0.04, 0.12, 0.4, 1};
  private static final int RESUBMISSION = 3;
  private static final int REPEATED_CANCELLATION = 5;

  private final Timeline timeline;
  private final Map<String, SimulatedUser> users;
  private final List<SimulatedController> controllers;
  private final DirectControllerClient client;
  private double activeUntil;
  private double cancelShare;

  /** Sends nothing until {@link #during} is called. */
  public ReadsAfterChange(
      Timeline timeline,
      Map<String, SimulatedUser> users,
      List<SimulatedController> controllers,
      DirectControllerClient client) {
    this.timeline = timeline;
    this.users = users;
    this.controllers = controllers;
    this.client = client;
  }

  /**
   * For {@code seconds}, reads each job that changes. A changed job that has not ended is also
   * cancelled with probability {@code share}.
   */
  public void during(double seconds, double share) {
    activeUntil = timeline.seconds() + seconds;
    cancelShare = share;
  }

  /** Called when a controller has told a user that the job changed. */
  public void jobChanged(ObservedJob job) {
    if (timeline.seconds() >= activeUntil) {
      return;
    }
    SimulatedUser user = users.get(job.id());
    if (job.terminalAt().isEmpty() && timeline.random() < cancelShare) {
      user.cancel();
    }
    for (int i = 0; i < DELAYS_SECONDS.length; i++) {
      int number = i;
      timeline.after(
          DELAYS_SECONDS[i],
          () -> controllers.forEach(controller -> request(number, job, user, controller)));
    }
  }

  private void request(
      int number, ObservedJob job, SimulatedUser user, SimulatedController controller) {
    if (!controller.alive()) {
      return;
    }
    double askedAt = timeline.seconds();
    if (number == RESUBMISSION) {
      client.request(
          controller,
          "POST",
          "/v2/runs",
          user.submissionBody(),
          reply -> user.receiveResubmission(reply, askedAt));
    } else if (number == REPEATED_CANCELLATION && job.terminalAt().isPresent()) {
      // Cancelling a job that has ended must not change its phase.
      client.request(
          controller, "POST", user.cancelPath(), "", reply -> user.receiveReply(reply, askedAt));
    } else {
      client.request(
          controller, "GET", user.jobPath(), "", reply -> user.receiveReply(reply, askedAt));
    }
  }
}
