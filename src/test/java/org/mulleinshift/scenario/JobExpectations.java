package org.mulleinshift.scenario;

import static org.mulleinshift.scenario.Expectations.atLeast;
import static org.mulleinshift.scenario.Expectations.atMost;
import static org.mulleinshift.scenario.Expectations.unless;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Function;
import org.mulleinshift.invariants.InvariantChecker;
import org.mulleinshift.invariants.ObservedJob;
import org.mulleinshift.invariants.ObservedJobs;
import org.mulleinshift.invariants.RunningTasks;
import org.mulleinshift.scenario.Expectations.Expectation;
import org.mulleinshift.simulation.time.Timeline;

/** Expectations about jobs and their tasks. */
final class JobExpectations {
  private static final double ACCEPTED_SHARE = 0.97;

  private JobExpectations() {}

  static void addTo(Map<String, Expectation> kinds, InvariantChecker checker, Timeline timeline) {
    addOneJob(kinds, checker);
    addManyJobs(kinds, checker.jobs(), timeline);
    RunningTasks tasks = checker.tasks();
    kinds.put("running", (line, limit) -> atLeast(tasks.count(line.word(1)), limit));
    kinds.put("late-starts", (line, limit) -> atMost(tasks.lateStarts(), line.number(1)));
    kinds.put("gone", (line, limit) -> atMost(tasks.maxCancellationSeconds(), limit));
  }

  private static void addOneJob(Map<String, Expectation> kinds, InvariantChecker checker) {
    kinds.put("done", happenedBy(checker.jobs(), ObservedJob::doneAt));
    kinds.put("cancelled", happenedBy(checker.jobs(), ObservedJob::cancelledAt));
    kinds.put("started", happenedBy(checker.jobs(), ObservedJob::firstStartAt));
    kinds.put("starts", (line, limit) -> atMost(namedJob(checker.jobs(), line).starts(), limit));
    kinds.put("not-accepted", (line, limit) -> notAccepted(checker.jobs(), line, limit));
  }

  private static ObservedJob namedJob(ObservedJobs jobs, ScenarioLine line) {
    ObservedJob job = jobs.find(line.word(1));
    if (job == null) {
      throw new IllegalArgumentException("no job of this name was submitted: expect " + line);
    }
    return job;
  }

  private static Expectation happenedBy(
      ObservedJobs jobs, Function<ObservedJob, OptionalDouble> time) {
    return (line, limit) -> {
      ObservedJob job = namedJob(jobs, line);
      OptionalDouble happenedAt = time.apply(job);
      return unless(
          happenedAt.isPresent() && happenedAt.getAsDouble() <= limit,
          "told " + job.reportedPhase() + ", happened at " + happenedAt);
    };
  }

  private static Optional<String> notAccepted(ObservedJobs jobs, ScenarioLine line, double limit) {
    OptionalDouble acceptedAt = namedJob(jobs, line).acceptedAt();
    return unless(
        acceptedAt.isEmpty() || acceptedAt.getAsDouble() >= limit, "accepted at " + acceptedAt);
  }

  private static void addManyJobs(
      Map<String, Expectation> kinds, ObservedJobs jobs, Timeline timeline) {
    kinds.put(
        "accepted",
        (line, limit) -> atLeast(jobs.acceptedWithin(line.word(1), limit), ACCEPTED_SHARE));
    kinds.put("open", (line, limit) -> atMost(jobs.openCount(line.word(1)), limit));
    kinds.put(
        "dependents-cancelled",
        (line, limit) -> atMost(jobs.maxDependentCancellationSeconds(timeline.seconds()), limit));
    kinds.put("all-done", (line, limit) -> atLeast(jobs.doneShare(line.word(1)), 1));
    kinds.put("in-time", (line, limit) -> atLeast(jobs.inTimeShare(line.word(1)), limit));
  }
}
