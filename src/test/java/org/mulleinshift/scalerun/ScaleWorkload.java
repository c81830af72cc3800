package org.mulleinshift.scalerun;

import java.util.HashMap;
import java.util.Map;
import org.mulleinshift.invariants.InvariantChecker;
import org.mulleinshift.invariants.ObservedJob;
import org.mulleinshift.simulation.ControllerClient;
import org.mulleinshift.simulation.SimulatedUser;
import org.mulleinshift.simulation.time.Timeline;

/** Users of one cell: urgent and batch jobs that arrive at random at a given average rate. */
final class ScaleWorkload {
  static final String URGENT = "urgent";
  static final String BATCH = "batch";

  private static final double URGENT_DUE_SECONDS = 60;
  private static final double BATCH_DUE_SECONDS = 300;
  private static final double MIN_RUN_FACTOR = 0.75;
  private static final double RUN_FACTOR_SPREAD = 0.5;
  private static final int IMAGES = 8;
  private static final double IMAGE_SECONDS = 0.5;
  private static final int POLLS_AFTER_END = 3;
  private static final double CANCEL_WITHIN_SECONDS = 20;

  private final Timeline timeline;
  private final InvariantChecker checker;
  private final ControllerClient client;
  private final ScaleOptions options;
  private final double urgentPerSecond;
  private final double batchPerSecond;
  private final int cell;
  private int jobs;

  ScaleWorkload(
      Timeline timeline,
      InvariantChecker checker,
      ControllerClient client,
      ScaleOptions options,
      int cell) {
    this.timeline = timeline;
    this.checker = checker;
    this.client = client;
    this.options = options;
    this.cell = cell;
    double starts = options.startsPerSecond / options.cells;
    this.urgentPerSecond = starts * options.urgentShare / options.urgentTasks;
    this.batchPerSecond = starts * (1 - options.urgentShare) / options.batchTasks;
  }

  /** Submits jobs until the given time of the timeline. */
  void start(double until) {
    scheduleArrivals(urgentPerSecond, until, this::submitUrgent);
    scheduleArrivals(batchPerSecond, until, this::submitBatch);
  }

  private void scheduleArrivals(double perSecond, double until, Runnable submit) {
    if (perSecond <= 0) {
      return;
    }
    double wait = -Math.log(1 - timeline.random()) / perSecond;
    if (timeline.seconds() + wait < until) {
      timeline.after(
          wait,
          () -> {
            submit.run();
            scheduleArrivals(perSecond, until, submit);
          });
    }
  }

  private void submitUrgent() {
    submit(URGENT, options.urgentTasks, options.runSeconds / 2, URGENT_DUE_SECONDS);
  }

  private void submitBatch() {
    submit(BATCH, options.batchTasks, options.runSeconds, BATCH_DUE_SECONDS);
  }

  private void submit(String jobClass, int tasks, double run, double due) {
    Map<String, String> fields = new HashMap<>();
    fields.put("class", jobClass);
    fields.put("team", team((int) (timeline.random() * options.teams)));
    fields.put("priority", jobClass.equals(URGENT) ? "urgent" : "standard");
    fields.put("tasks", Integer.toString(tasks));
    fields.put(
        "run", Double.toString(run * (MIN_RUN_FACTOR + RUN_FACTOR_SPREAD * timeline.random())));
    fields.put("guess", Double.toString(run));
    fields.put("due", Double.toString(due));
    fields.put("fetch", Double.toString(IMAGE_SECONDS));
    fields.put("image", "img-" + (int) (timeline.random() * IMAGES));
    String id = String.format("run-%d%06d", cell + 1, ++jobs);
    ObservedJob job = new ObservedJob(id, fields);
    checker.jobs().add(job);
    SimulatedUser user = new SimulatedUser(timeline, checker, client, job);
    user.limitPollsAfterEnd(POLLS_AFTER_END);
    user.submit();
    if (timeline.random() < options.cancelledShare) {
      timeline.after(CANCEL_WITHIN_SECONDS * timeline.random(), user::cancel);
    }
  }

  static String team(int number) {
    return "team-" + number;
  }
}
