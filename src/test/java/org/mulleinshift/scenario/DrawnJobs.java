package org.mulleinshift.scenario;

import org.mulleinshift.scenario.ScenarioDraw.Count;
import org.mulleinshift.scenario.ScenarioDraw.Span;

/** Draws jobs, and which of them are cancelled. */
final class DrawnJobs {
  private static final String[] CPUS = {"1", "2", "4"};
  private static final String[] TEAMS = {"t", "u"};

  private static final int FAILING_ONCE_IN = 6;
  private static final int CANCELLED_ONCE_IN = 5;
  private static final int CONSTRAINED_ONCE_IN = 4;
  private static final Span SUBMITTED_AT = new Span(3, 100);
  private static final Count TASKS = new Count(1, 20);
  private static final Count RUN_SECONDS = new Count(5, 40);
  private static final Count FETCH_SECONDS = new Count(1, 6);
  private static final Span CANCELLED_AFTER = new Span(5, 90);

  private static final Count LONG_TASKS = new Count(2, 14);
  private static final Count LONG_RUN_SECONDS = new Count(30, 90);
  private static final Count LONG_FETCH_SECONDS = new Count(1, 4);
  private static final Span LONG_CANCELLED_AFTER = new Span(20, 90);

  private static final String STAGE =
      "at %.1f job %s tasks=%d cpus=1 run=%d team=%s due=none priority=idle%s";
  private static final int STAGES = 4;
  private static final int LAST_STAGE = STAGES - 1;
  private static final int ORDINARY_DEPENDENCY_ONCE_IN = 3;
  private static final int LATE_LAST_STAGE_ONCE_IN = 4;
  private static final int PIPELINE_CANCELLED_ONCE_IN = 3;
  private static final Span PIPELINE_AT = new Span(5, 70);
  private static final double LAST_STAGE_AFTER = 2.5;
  private static final Span LATE_LAST_STAGE_AFTER = new Span(40, 60);
  private static final Span STAGE_CANCELLED_AFTER = new Span(1, 60);
  private static final Count STAGE_TASKS = new Count(1, 8);
  private static final Count STAGE_RUN_SECONDS = new Count(2, 9);
  private static final Count LAST_STAGE_TASKS = new Count(1, 4);
  private static final Count LAST_STAGE_RUN_SECONDS = new Count(2, 5);

  private final ScenarioDraw draw;

  DrawnJobs(ScenarioDraw draw) {
    this.draw = draw;
  }

  /** An ordinary job; if it is not cancelled, it must be done at the end. */
  void addOrdinary(int number, double endSeconds) {
    String id = "run-" + number;
    boolean failing = draw.onceIn(FAILING_ONCE_IN);
    boolean cancelled = failing || draw.onceIn(CANCELLED_ONCE_IN);
    double at = draw.number(SUBMITTED_AT);
    draw.add(
        "at %.1f job %s tasks=%d cpus=%s run=%d team=%s priority=%s fetch=%d %s %s %s",
        at,
        id,
        draw.number(TASKS),
        draw.one(CPUS),
        draw.number(RUN_SECONDS),
        draw.one(TEAMS),
        draw.one("urgent", "standard", "idle"),
        draw.number(FETCH_SECONDS),
        failing ? "fails=yes" : "fails=no",
        draw.onceIn(CONSTRAINED_ONCE_IN) ? "spread=yes" : "spread=no",
        draw.onceIn(CONSTRAINED_ONCE_IN) ? "spot=no" : "spot=yes");
    if (cancelled) {
      draw.add("at %.1f cancel %s", draw.after(at, CANCELLED_AFTER), id);
    } else {
      draw.add("expect done %s by %.0f", id, endSeconds);
    }
  }

  /** A long job; half of them are cancelled while they run. */
  void addLong(String id, double at) {
    String form = "at %.1f job %s tasks=%d cpus=%s run=%d team=%s due=none fetch=%d %s";
    String zones = draw.one("spread=yes", "one_zone=yes", "spread=no", "spread=no");
    int tasks = draw.number(LONG_TASKS);
    int run = draw.number(LONG_RUN_SECONDS);
    String cpus = draw.one(CPUS);
    String team = draw.one(TEAMS);
    draw.add(form, at, id, tasks, cpus, run, team, draw.number(LONG_FETCH_SECONDS), zones);
    if (draw.coin()) {
      draw.add("at %.1f cancel %s", draw.after(at, LONG_CANCELLED_AFTER), id);
    }
  }

  /** Four stages; some name an earlier ordinary job, some are submitted late or cancelled. */
  void addPipeline(int number) {
    String id = "run-p" + number + "-";
    double at = draw.number(PIPELINE_AT);
    String first = draw.onceIn(ORDINARY_DEPENDENCY_ONCE_IN) ? " awaits=run-1" : "";
    int tasks = draw.number(STAGE_TASKS);
    int run = draw.number(STAGE_RUN_SECONDS);
    draw.add(STAGE, at, id + 0, tasks, run, draw.one(TEAMS), first);
    String middle = " awaits=" + id + "0";
    addMiddleStage(at + 1, id + 1, "t", middle);
    addMiddleStage(at + 1, id + 2, "u", middle);
    double last =
        draw.onceIn(LATE_LAST_STAGE_ONCE_IN)
            ? draw.after(at, LATE_LAST_STAGE_AFTER)
            : at + LAST_STAGE_AFTER;
    String all = " awaits=" + id + "0," + id + "1," + id + "2";
    int lastTasks = draw.number(LAST_STAGE_TASKS);
    int lastRun = draw.number(LAST_STAGE_RUN_SECONDS);
    draw.add(STAGE, last, id + LAST_STAGE, lastTasks, lastRun, "t", all);
    if (draw.onceIn(PIPELINE_CANCELLED_ONCE_IN)) {
      int stage = draw.number(new Count(0, STAGES));
      double from = stage == LAST_STAGE ? last : at + 1;
      draw.add("at %.1f cancel %s%d", draw.after(from, STAGE_CANCELLED_AFTER), id, stage);
    }
  }

  private void addMiddleStage(double at, String id, String team, String dependency) {
    int tasks = draw.number(STAGE_TASKS);
    draw.add(STAGE, at, id, tasks, draw.number(STAGE_RUN_SECONDS), team, dependency);
  }
}
