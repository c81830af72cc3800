package org.mulleinshift.progress;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.mulleinshift.model.Job;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The jobs of a term whose end waits to be stored; logs when the wait is long. */
final class PendingJobEnds {
  private static final Logger LOG = LoggerFactory.getLogger(PendingJobEnds.class);
  private static final Duration MIN_LOGGED_AGE = Duration.ofSeconds(2);
  private static final Duration LOG_INTERVAL = Duration.ofSeconds(10);

  /** A job, and the time since which its end waits to be stored. */
  private record PendingJobEnd(Job job, MonotonicTime since) {}

  private final EventLoop loop;
  private final Revision term;

  /** In the order in which they were added, the oldest first. */
  private final Map<JobId, PendingJobEnd> ends = new LinkedHashMap<>();

  private MonotonicTime loggedAt;

  PendingJobEnds(EventLoop loop, Revision term) {
    this.loop = loop;
    this.term = term;
    this.loggedAt = loop.now().minus(LOG_INTERVAL);
  }

  /** Adds a job whose end is to be stored; a job that waits already keeps its time. */
  void add(Job job) {
    ends.putIfAbsent(job.spec().id(), new PendingJobEnd(job, loop.now()));
  }

  /**
   * Logs how many ends wait and the age of the oldest one if that age is high, at most once per log
   * interval.
   */
  void logIfDelayed() {
    ends.values().removeIf(end -> end.job().state() == Job.State.ENDED);
    MonotonicTime now = loop.now();
    if (ends.isEmpty() || now.since(loggedAt).compareTo(LOG_INTERVAL) < 0) {
      return;
    }
    PendingJobEnd oldest = ends.values().iterator().next();
    if (now.since(oldest.since()).compareTo(MIN_LOGGED_AGE) < 0) {
      return;
    }
    loggedAt = now;
    LOG.info(
        "job ends wait to be stored, term={} {} with_dependency: {}",
        term,
        describe(ends.values(), now),
        describe(cancelledWithDependencies(), now));
  }

  private Collection<PendingJobEnd> cancelledWithDependencies() {
    return ends.values().stream()
        .filter(end -> end.job().cancelled() && !end.job().dependencies().isEmpty())
        .toList();
  }

  private static String describe(Collection<PendingJobEnd> waiting, MonotonicTime now) {
    return waiting.stream()
        .findFirst()
        .map(
            oldest ->
                String.format(
                    "waiting=%d oldest=%s age_ms=%d",
                    waiting.size(), oldest.job().spec().id(), now.since(oldest.since()).toMillis()))
        .orElse("waiting=0");
  }
}
