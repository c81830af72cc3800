package org.mulleinshift.model;

import java.util.Locale;
import java.util.OptionalLong;
import org.mulleinshift.protocol.JobSpec;

/** Wall-clock times of the steps of one job, as far as this leader knows them. */
final class JobTimeline {
  private static final long MILLIS_PER_SECOND = 1000;

  private final long acceptedMillis;
  private OptionalLong readyMillis = OptionalLong.empty();
  private OptionalLong releasedMillis = OptionalLong.empty();
  private OptionalLong firstAssignedMillis = OptionalLong.empty();
  private OptionalLong startedMillis = OptionalLong.empty();
  private boolean inheritedProgress;

  JobTimeline(long acceptedMillis) {
    this.acceptedMillis = acceptedMillis;
  }

  long acceptedMillis() {
    return acceptedMillis;
  }

  /**
   * Returns when the job could run: its acceptance or, if later, the end of its last dependency.
   */
  long readyMillis() {
    return readyMillis.orElse(acceptedMillis);
  }

  /** Records when the last dependency ended; a time before the job's acceptance counts as that. */
  void markReady(long atMillis) {
    readyMillis = OptionalLong.of(Math.max(acceptedMillis, atMillis));
  }

  /** Records when this leader learned that the last dependency had ended. */
  void markReleased(long atMillis) {
    releasedMillis = OptionalLong.of(atMillis);
  }

  /** Records when the assignment of a task was stored; only the first time counts. */
  void markFirstAssigned(long atMillis) {
    if (firstAssignedMillis.isEmpty()) {
      firstAssignedMillis = OptionalLong.of(atMillis);
    }
  }

  /** Records when a task runs; only the first time counts. */
  void markStarted(long atMillis) {
    if (startedMillis.isEmpty() && !inheritedProgress) {
      startedMillis = OptionalLong.of(atMillis);
    }
  }

  /** Records that an earlier leader stored progress, so that the start time is not known. */
  void markInheritedProgress() {
    inheritedProgress = true;
  }

  /** Whether this leader saw a task run or loaded stored progress that is not empty. */
  boolean hasStarted() {
    return startedMillis.isPresent() || inheritedProgress;
  }

  /** Returns a summary of the job's run as {@code key=value} fields of a log line. */
  String summary(JobSpec spec, long nowMillis) {
    return String.format(
        Locale.ROOT,
        "tasks=%d class=%s wait=%s duration=%ds deadline=%s%s",
        spec.taskCount(),
        spec.jobClass(),
        startedMillis.isPresent() ? secondsUntilStart(startedMillis.getAsLong()) + "s" : "unknown",
        (nowMillis - acceptedMillis) / MILLIS_PER_SECOND,
        spec.deadlineSeconds().isPresent()
            ? Math.round(spec.deadlineSeconds().getAsDouble()) + "s"
            : "none",
        dependencyLatency());
  }

  private long secondsUntilStart(long started) {
    return Math.max(0, (started - readyMillis()) / MILLIS_PER_SECOND);
  }

  /**
   * Returns the duration of each step since the last dependency ended; empty if any is not known.
   */
  private String dependencyLatency() {
    if (releasedMillis.isEmpty() || firstAssignedMillis.isEmpty() || startedMillis.isEmpty()) {
      return "";
    }
    return String.format(
        Locale.ROOT,
        " dependencies_known=%dms published=%dms running=%dms",
        releasedMillis.getAsLong() - readyMillis(),
        firstAssignedMillis.getAsLong() - releasedMillis.getAsLong(),
        startedMillis.getAsLong() - firstAssignedMillis.getAsLong());
  }
}
