package org.mulleinshift.model;

import java.util.Locale;
import java.util.OptionalLong;
import org.mulleinshift.protocol.JobSpec;

/** When the steps of one job happened, by the time of day, as far as this leader knows. */
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

  /** From when the job could run. */
  long readyMillis() {
    return readyMillis.orElse(acceptedMillis);
  }

  /** The last dependency ended at that time; the job could not run before it was accepted. */
  void markReady(long atMillis) {
    readyMillis = OptionalLong.of(Math.max(acceptedMillis, atMillis));
  }

  /** This leader learned that the last dependency has ended. */
  void markReleased(long atMillis) {
    releasedMillis = OptionalLong.of(atMillis);
  }

  /** A first task was stored as assigned. */
  void markFirstAssigned(long atMillis) {
    if (firstAssignedMillis.isEmpty()) {
      firstAssignedMillis = OptionalLong.of(atMillis);
    }
  }

  /** A task runs. */
  void markStarted(long atMillis) {
    if (startedMillis.isEmpty() && !inheritedProgress) {
      startedMillis = OptionalLong.of(atMillis);
    }
  }

  /** An earlier leader has stored progress: when the job started is not known. */
  void markInheritedProgress() {
    inheritedProgress = true;
  }

  /** Whether any task ran or was assigned, as far as this leader or the store knows. */
  boolean hasStarted() {
    return startedMillis.isPresent() || inheritedProgress;
  }

  /** How the job fared, as fields of a log line. */
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

  /** How long each step took since the last dependency ended, if this leader saw all of them. */
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
