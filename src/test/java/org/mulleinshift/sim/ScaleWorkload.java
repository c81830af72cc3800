package org.mulleinshift.sim;

import java.util.HashMap;
import java.util.Map;

/** Users of one cell: urgent jobs of a few tasks and larger ones, drawn at a given rate. */
final class ScaleWorkload {
  static final String URGENT = "urgent";
  static final String BATCH = "batch";

  private static final double URGENT_DUE_SECONDS = 60;
  private static final double BATCH_DUE_SECONDS = 300;
  private static final int IMAGES = 8;
  private static final double IMAGE_SECONDS = 0.5;
  private static final int POLLS_AFTER_END = 3;
  private static final double CANCEL_WITHIN_SECONDS = 20;

  private final World world;
  private final RuleBook rules;
  private final SimUser.Nodes nodes;
  private final ScaleOptions options;
  private final double urgentPerSecond;
  private final double batchPerSecond;
  private final int cell;
  private int jobs;

  ScaleWorkload(World world, RuleBook rules, SimUser.Nodes nodes, ScaleOptions options, int cell) {
    this.world = world;
    this.rules = rules;
    this.nodes = nodes;
    this.options = options;
    this.cell = cell;
    double starts = options.starts / options.cells;
    this.urgentPerSecond = starts * options.urgentShare / options.urgentTasks;
    this.batchPerSecond = starts * (1 - options.urgentShare) / options.batchTasks;
  }

  /** Until then jobs are submitted. */
  void start(double until) {
    arrivals(urgentPerSecond, until, this::urgent);
    arrivals(batchPerSecond, until, this::batch);
  }

  private void arrivals(double perSecond, double until, Runnable submit) {
    if (perSecond <= 0) {
      return;
    }
    double wait = -Math.log(1 - world.random()) / perSecond;
    if (world.seconds() + wait < until) {
      world.after(
          wait,
          () -> {
            submit.run();
            arrivals(perSecond, until, submit);
          });
    }
  }

  private void urgent() {
    submit(URGENT, options.urgentTasks, options.runSeconds / 2, URGENT_DUE_SECONDS);
  }

  private void batch() {
    submit(BATCH, options.batchTasks, options.runSeconds, BATCH_DUE_SECONDS);
  }

  private void submit(String jobClass, int tasks, double run, double due) {
    Map<String, String> fields = new HashMap<>();
    fields.put("class", jobClass);
    fields.put("team", team((int) (world.random() * options.teams)));
    fields.put("priority", jobClass.equals(URGENT) ? "urgent" : "standard");
    fields.put("tasks", Integer.toString(tasks));
    fields.put("run", Double.toString(run * (0.75 + 0.5 * world.random())));
    fields.put("guess", Double.toString(run));
    fields.put("due", Double.toString(due));
    fields.put("fetch", Double.toString(IMAGE_SECONDS));
    fields.put("image", "img-" + (int) (world.random() * IMAGES));
    String id = String.format("run-%d%06d", cell + 1, ++jobs);
    RuleBook.TrueJob job = new RuleBook.TrueJob(id, fields);
    rules.add(job);
    SimUser user = new SimUser(world, rules, nodes, job);
    user.pollsAfterEnd(POLLS_AFTER_END);
    user.submit();
    if (world.random() < options.cancelled) {
      world.after(CANCEL_WITHIN_SECONDS * world.random(), user::cancel);
    }
  }

  static String team(int number) {
    return "team-" + number;
  }
}
