package org.mulleinshift.scenario;

import static org.mulleinshift.scenario.ScenarioLine.FIFTH;
import static org.mulleinshift.scenario.ScenarioLine.FOURTH;
import static org.mulleinshift.scenario.ScenarioLine.THIRD;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.mulleinshift.invariants.InvariantChecker;
import org.mulleinshift.invariants.ObservedJob;
import org.mulleinshift.simulation.SimulatedUser;
import org.mulleinshift.simulation.time.Timeline;

/** Commands that submit and cancel jobs. */
final class JobCommands {
  private static final int MAX_HANGING_MACHINES = 8;
  private static final double CANCEL_NOW_SECONDS = 0.2;

  /** Maximum delay from the time a job's last task is nearly done to its cancellation. */
  private static final double CANCEL_AT_END_SECONDS = 0.012;

  /** Delay after which a dependent is submitted, so that its dependency is accepted first. */
  private static final double DEPENDENT_DELAY_SECONDS = 0.2;

  private final ScenarioContext context;
  private final Timeline timeline;
  private final InvariantChecker checker;
  private final Map<String, SimulatedUser> users;
  private double cancelAtEndShare;
  private double cancelAtEndUntil;

  JobCommands(ScenarioContext context, CommandTable table) {
    this.context = context;
    this.timeline = context.timeline();
    this.checker = context.checker();
    this.users = context.cluster().users();
    table.add("job", line -> submit(line.word(1), line.fields(2)));
    table.add("swarm", this::submitSwarm);
    table.add("chain", this::submitChain);
    table.add("star", this::submitStar);
    table.add("fan", this::submitFan);
    table.add("pairs", this::submitPairs);
    table.add("resubmit", this::resubmit);
    table.add("cancel", line -> users.get(line.word(1)).cancel());
    table.addFault("cancel-now", this::cancelNow);
    table.add("cancel-at-end", this::cancelAtEnd);
    checker.tasks().onNearlyDone(this::nearlyDone);
  }

  private void submit(String id, Map<String, String> fields) {
    ObservedJob job = new ObservedJob(id, fields);
    checker.jobs().add(job);
    SimulatedUser user = userOf(job);
    users.put(id, user);
    user.submit();
    if (job.has("cancel_after") && timeline.random() < job.number("cancel_share", 1)) {
      timeline.after(job.number("cancel_after", 0), user::cancel);
    }
  }

  private SimulatedUser userOf(ObservedJob job) {
    return new SimulatedUser(timeline, checker, context.cluster()::sendToAny, job);
  }

  private static String numbered(String prefix, int number) {
    return prefix + String.format("%04d", number);
  }

  /**
   * {@code swarm run-5 200 0.16 tasks=1}: submits jobs run-50000 to run-50199, one every 0.16 s.
   */
  private void submitSwarm(ScenarioLine line) {
    Map<String, String> fields = line.fields(FOURTH);
    double interval = line.number(THIRD);
    for (int i = 0; i < line.integer(2); i++) {
      String id = numbered(line.word(1), i);
      timeline.after(interval * i, () -> submit(id, fields));
    }
  }

  /** {@code chain run-5 200 0.1 tasks=1}: a swarm in which each job depends on the one before. */
  private void submitChain(ScenarioLine line) {
    Map<String, String> common = line.fields(FOURTH);
    double interval = line.number(THIRD);
    for (int i = 0; i < line.integer(2); i++) {
      String id = numbered(line.word(1), i);
      Map<String, String> fields = new HashMap<>(common);
      if (i > 0) {
        fields.put("awaits", numbered(line.word(1), i - 1));
      }
      timeline.after(interval * i, () -> submit(id, fields));
    }
  }

  /** {@code star run-5 run-1 200 0.1 tasks=1}: a swarm in which all jobs depend on run-1. */
  private void submitStar(ScenarioLine line) {
    Map<String, String> fields = new HashMap<>(line.fields(FIFTH));
    fields.put("awaits", line.word(2));
    double interval = line.number(FOURTH);
    for (int i = 0; i < line.integer(THIRD); i++) {
      String id = numbered(line.word(1), i);
      timeline.after(interval * i, () -> submit(id, fields));
    }
  }

  /** {@code fan run-9 run-5 200 tasks=1}: a job that depends on all 200 jobs of the swarm run-5. */
  private void submitFan(ScenarioLine line) {
    Map<String, String> fields = new HashMap<>(line.fields(FOURTH));
    String dependencies =
        IntStream.range(0, line.integer(THIRD))
            .mapToObj(number -> numbered(line.word(2), number))
            .collect(Collectors.joining(","));
    fields.put("awaits", dependencies);
    submit(line.word(1), fields);
  }

  /**
   * {@code pairs run-5 run-1 200 0.2 tasks=1}: a swarm of 200 jobs, each followed shortly after by
   * a job that depends on it: run-50000 depends on run-10000.
   */
  private void submitPairs(ScenarioLine line) {
    Map<String, String> fields = line.fields(FIFTH);
    double interval = line.number(FOURTH);
    for (int i = 0; i < line.integer(THIRD); i++) {
      String dependency = numbered(line.word(2), i);
      String dependent = numbered(line.word(1), i);
      Map<String, String> dependentFields = new HashMap<>(fields);
      dependentFields.put("awaits", dependency);
      double at = interval * i;
      timeline.after(at, () -> submit(dependency, fields));
      timeline.after(at + DEPENDENT_DELAY_SECONDS, () -> submit(dependent, dependentFields));
    }
  }

  /** {@code resubmit run-1 tasks=2}: submits a job again with other fields. */
  private void resubmit(ScenarioLine line) {
    ObservedJob changed = new ObservedJob(line.word(1), line.fields(2));
    users.get(line.word(1)).resubmit(userOf(changed).submissionBody());
  }

  /**
   * {@code cancel-now N [SECONDS]}: cancels up to N running jobs; if a time is given, up to eight
   * of the machines on which they run hang for so long.
   */
  private void cancelNow(ScenarioLine line) {
    List<ObservedJob> jobs =
        checker.jobs().all().stream()
            .filter(job -> !job.cancelRequested() && checker.tasks().count(job.id()) > 0)
            .limit(line.integer(1))
            .toList();
    if (line.size() > 2) {
      Set<String> machines = checker.tasks().machinesOf(jobs);
      double seconds = line.number(2);
      context.cluster().cloud().workers().stream()
          .filter(worker -> machines.contains(worker.name()))
          .limit(MAX_HANGING_MACHINES)
          .forEach(worker -> worker.hang(seconds));
    }
    jobs.forEach(
        job -> timeline.after(CANCEL_NOW_SECONDS * timeline.random(), users.get(job.id())::cancel));
  }

  /**
   * {@code cancel-at-end SHARE SECONDS}: cancels this share of the jobs that end within so many
   * seconds.
   */
  private void cancelAtEnd(ScenarioLine line) {
    cancelAtEndShare = line.number(1);
    cancelAtEndUntil = timeline.seconds() + line.number(2);
  }

  /** Cancels the job a few ms before, at or after the end of its last task, if it is selected. */
  private void nearlyDone(ObservedJob job) {
    boolean chosen = timeline.seconds() < cancelAtEndUntil && timeline.random() < cancelAtEndShare;
    if (chosen && !job.cancelRequested()) {
      timeline.after(CANCEL_AT_END_SECONDS * timeline.random(), users.get(job.id())::cancel);
    }
  }
}
