package org.mulleinshift.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Watches the rules: it sees what truly runs and what users are truly told. */
final class RuleBook {
  /** A job as its user knows it. */
  static final class TrueJob {
    final String id;
    final Map<String, String> fields;
    final int tasks;
    final List<String> awaits;
    final Set<Integer> done = new HashSet<>();
    boolean submitted;
    boolean accepted;
    boolean cancelAsked;
    Double cancelledAt;
    Double acceptedAt;
    String told = "";
    Double toldDoneAt;
    Double firstStartAt;
    double submittedAt;
    int starts;
    int polls404;
    double answeredAt;
    Double overAt;

    TrueJob(String id, Map<String, String> fields) {
      this.id = id;
      this.fields = fields;
      this.awaits =
          fields.containsKey("awaits") ? List.of(fields.get("awaits").split(",")) : List.of();
      this.tasks = Integer.parseInt(fields.getOrDefault("tasks", "1"));
    }

    double number(String key, double standard) {
      return fields.containsKey(key) ? Double.parseDouble(fields.get(key)) : standard;
    }

    boolean flag(String key, boolean standard) {
      return fields.containsKey(key) ? fields.get(key).equals("yes") : standard;
    }
  }

  /** Users poll every 5 s, and what they are told may lag by 3 s. */
  private static final double TOLD_AFTER = 8;

  private static final double FORGOTTEN_AFTER = 75;

  /** By then a stored cancellation is known and its orders are there, where only links are slow. */
  private static final double HEARD_WITHIN = 2;

  private record OnMachine(String machine, String zone) {}

  private final World world;
  private final Map<String, Double> teamLimits;
  private final double cancelSeconds;
  private final Map<String, TrueJob> jobs = new TreeMap<>();
  private final Map<String, OnMachine> running = new HashMap<>();
  private final TeamUse teamUse;
  private final List<String> broken = new ArrayList<>();
  private int starts;
  private int lateStarts;
  private double longestGone;
  private Predicate<String> storedAsOver = job -> false;
  private Consumer<TrueJob> onNews = job -> {};
  private Consumer<TrueJob> onNearlyDone = job -> {};
  private Consumer<TrueJob> onStart = job -> {};

  RuleBook(World world, Map<String, Double> teamLimits, double cancelSeconds) {
    this(world, teamLimits, cancelSeconds, new TeamUse());
  }

  /**
   * Watches one of several cells.
   *
   * @param teamLimits processors that each team may use over all cells
   * @param teamUse what the teams use over all cells
   */
  RuleBook(World world, Map<String, Double> teamLimits, double cancelSeconds, TeamUse teamUse) {
    this.world = world;
    this.teamLimits = teamLimits;
    this.cancelSeconds = cancelSeconds;
    this.teamUse = teamUse;
  }

  void add(TrueJob job) {
    jobs.put(job.id, job);
  }

  TrueJob job(String id) {
    return jobs.get(id);
  }

  /** The share of jobs of the prefix that were accepted within the time. */
  double acceptedWithin(String prefix, double seconds) {
    List<TrueJob> asked = jobs.values().stream().filter(job -> job.id.startsWith(prefix)).toList();
    long inTime =
        asked.stream()
            .filter(job -> job.acceptedAt != null && job.acceptedAt - job.submittedAt <= seconds)
            .count();
    return inTime / (double) asked.size();
  }

  double doneShare(String prefix) {
    List<TrueJob> asked = jobs.values().stream().filter(job -> job.id.startsWith(prefix)).toList();
    return asked.stream().filter(job -> job.toldDoneAt != null).count() / (double) asked.size();
  }

  /** The share of jobs told done by their deadlines, and the time a poll may take to tell. */
  double inTimeShare(String prefix) {
    List<TrueJob> asked = jobs.values().stream().filter(job -> job.id.startsWith(prefix)).toList();
    return asked.stream()
            .filter(job -> job.toldDoneAt != null)
            .filter(job -> job.toldDoneAt - job.submittedAt <= job.number("due", 0) + TOLD_AFTER)
            .count()
        / (double) asked.size();
  }

  /**
   * Accepted jobs that nobody cancelled and that were never told done. What fell with a job that it
   * needs is not open; a job that is called cancelled though none was breaks went_back.
   */
  int open(String prefix) {
    return (int)
        jobs.values().stream()
            .filter(job -> job.id.startsWith(prefix) && job.accepted && !job.cancelAsked)
            .filter(job -> job.toldDoneAt == null && !job.told.equals("cancelled"))
            .count();
  }

  Collection<TrueJob> jobs() {
    return jobs.values();
  }

  /** Starts more than two seconds after a user was told that the job is cancelled. */
  int lateStarts() {
    return lateStarts;
  }

  /** Knows of which jobs an end is stored: nothing of them may start any more, in no time. */
  void storedAsOver(Predicate<String> ends) {
    storedAsOver = ends;
  }

  /** Hears when a user is first told that a job is accepted, and that it is over. */
  void onNews(Consumer<TrueJob> listener) {
    onNews = listener;
  }

  /** Hears when the last task of a job is about to end. */
  void onNearlyDone(Consumer<TrueJob> listener) {
    onNearlyDone = listener;
  }

  /** Hears of each start of a task. */
  void onStart(Consumer<TrueJob> listener) {
    onStart = listener;
  }

  double beforeEnd() {
    return 0.006;
  }

  void nearlyDone(String task) {
    TrueJob job = jobs.get(jobOf(task));
    if (job.done.size() == job.tasks - 1) {
      onNearlyDone.accept(job);
    }
  }

  List<String> broken() {
    return broken;
  }

  int starts() {
    return starts;
  }

  void violated(String rule, String what) {
    broken.add(String.format("%.3f %s: %s", world.seconds(), rule, what));
  }

  private static String jobOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  /** The task has its image and is on the machine from now on. */
  void started(String task, String machine, String type, String zone, boolean spot) {
    TrueJob job = jobs.get(jobOf(task));
    starts++;
    job.starts++;
    if (job.firstStartAt == null) {
      job.firstStartAt = world.seconds();
    }
    OnMachine other = running.get(task);
    if (other != null) {
      violated("ran_twice", task + " on " + other.machine() + " and " + machine);
    }
    String wantedZone = job.fields.get("zone");
    boolean placed =
        (wantedZone == null || wantedZone.equals(zone))
            && (job.flag("spot", true) || !spot)
            && (!job.fields.containsKey("type") || job.fields.get("type").equals(type))
            && zonesKept(job, zone);
    if (!placed) {
      violated("wrong_place", task + " on " + machine + " in " + zone);
    }
    if (storedAsOver.test(job.id)) {
      violated("over", task + " started on " + machine + " though its job's end is stored");
    }
    boolean late = job.cancelledAt != null && world.seconds() > job.cancelledAt + HEARD_WITHIN;
    lateStarts += late ? 1 : 0;
    if (job.cancelledAt != null && world.seconds() > job.cancelledAt + cancelSeconds) {
      violated("ran_cancelled", task + " started on " + machine);
    }
    for (String need : job.awaits) {
      if (jobs.get(need).done.size() < jobs.get(need).tasks) {
        violated("too_early", task + " before " + need + " was done");
      }
    }
    if (running.put(task, new OnMachine(machine, zone)) == null) {
      teamUse.add(teamOf(job), job.number("cpus", 1));
    }
    String team = teamOf(job);
    if (teamLimits.getOrDefault(team, 0.0) > 0 && used(team) > teamLimits.get(team) + 1e-6) {
      violated("quota", team + " uses " + used(team));
    }
    onStart.accept(job);
  }

  boolean zonesKept(TrueJob job, String zone) {
    if (!job.flag("one_zone", false) && !job.flag("spread", false)) {
      return true;
    }
    int here = 1;
    for (Map.Entry<String, OnMachine> entry : running.entrySet()) {
      if (jobOf(entry.getKey()).equals(job.id)) {
        boolean same = entry.getValue().zone().equals(zone);
        if (job.flag("one_zone", false) && !same) {
          return false;
        }
        here += same ? 1 : 0;
      }
    }
    return !job.flag("spread", false) || here <= (job.tasks + 1) / 2;
  }

  /** Whether the job's team may use so much more as one of its tasks takes. */
  boolean underLimit(TrueJob job) {
    String team = teamOf(job);
    double limit = teamLimits.getOrDefault(team, 0.0);
    return limit == 0 || used(team) + job.number("cpus", 1) <= limit + 1e-6;
  }

  private static String teamOf(TrueJob job) {
    return job.fields.getOrDefault("team", "t");
  }

  private double used(String team) {
    return teamUse.of(team);
  }

  void completed(String task) {
    jobs.get(jobOf(task)).done.add(Integer.parseInt(task.substring(task.lastIndexOf('/') + 1)));
  }

  boolean isCompleted(String task) {
    return jobs.get(jobOf(task))
        .done
        .contains(Integer.parseInt(task.substring(task.lastIndexOf('/') + 1)));
  }

  void left(String task, String machine) {
    OnMachine where = running.get(task);
    if (where != null && where.machine().equals(machine)) {
      running.remove(task);
      TrueJob job = jobs.get(jobOf(task));
      teamUse.add(teamOf(job), -job.number("cpus", 1));
      checkCancelled(task);
    }
  }

  /** The longest time from when a user was told of a cancellation to the end of a task of it. */
  double longestGone() {
    return longestGone;
  }

  private void checkCancelled(String task) {
    TrueJob job = jobs.get(jobOf(task));
    if (job.cancelledAt != null) {
      longestGone = Math.max(longestGone, world.seconds() - job.cancelledAt);
    }
    if (job.cancelledAt != null && world.seconds() > job.cancelledAt + cancelSeconds + 0.01) {
      violated("ran_cancelled", task + " was still there");
    }
  }

  /** When a user was told first that a job which this one needs is cancelled; null: nobody was. */
  Double fallenAt(TrueJob job) {
    Double first = null;
    Set<String> seen = new HashSet<>(job.awaits);
    Deque<String> open = new ArrayDeque<>(job.awaits);
    while (!open.isEmpty()) {
      TrueJob need = jobs.get(open.poll());
      if (need.cancelledAt != null) {
        double since = Math.max(need.cancelledAt, job.submittedAt);
        first = first == null ? since : Math.min(first, since);
      }
      need.awaits.stream().filter(seen::add).forEach(open::add);
    }
    return first;
  }

  /**
   * Once troubles are over users hear of every accepted job, and what was accepted runs.
   *
   * @param calmSince when the last trouble was over
   */
  void end(double calmSince) {
    for (TrueJob job : jobs.values()) {
      double silent = world.seconds() - Math.max(job.answeredAt, calmSince);
      if (job.accepted && silent > FORGOTTEN_AFTER) {
        violated("forgotten", job.id + " had no answer for " + Math.round(silent) + " s");
      }
    }
    running.keySet().forEach(this::checkCancelled);
  }

  Set<String> machinesOf(Collection<TrueJob> some) {
    Set<String> machines = new HashSet<>();
    running.forEach(
        (task, where) -> {
          if (some.contains(jobs.get(jobOf(task)))) {
            machines.add(where.machine());
          }
        });
    return machines;
  }

  int runningTasks(String job) {
    return (int) running.keySet().stream().filter(task -> jobOf(task).equals(job)).count();
  }

  /**
   * What a user reads in an answer about a job. Several questions may be on their way: an answer
   * may be no older than what was told before its question was sent.
   */
  void told(String id, double askedAt, int status, String phase) {
    TrueJob job = jobs.get(id);
    if (status == 404) {
      if (job != null && job.acceptedAt != null && job.acceptedAt <= askedAt) {
        violated("forgotten", id + " got 404");
      }
      return;
    }
    if (status != 200 && status != 201) {
      return;
    }
    if (job == null || !job.submitted) {
      violated("invented", id);
      return;
    }
    job.accepted = true;
    job.answeredAt = world.seconds();
    boolean news = job.acceptedAt == null;
    if (job.acceptedAt == null) {
      job.acceptedAt = world.seconds();
    }
    Double fallen = fallenAt(job);
    boolean open = !phase.equals("done") && !phase.equals("cancelled");
    if (job.overAt != null && !phase.equals(job.told)) {
      if (!open || job.overAt <= askedAt) {
        violated("went_back", id + " from " + job.told + " to " + phase);
      }
      return;
    }
    if (open && fallen != null && world.seconds() > fallen + cancelSeconds) {
      violated("orphaned", id + " is called " + phase);
    }
    if (phase.equals("cancelled") && !job.cancelAsked && fallen == null) {
      violated("went_back", id + " cancelled by nobody");
    }
    if (phase.equals("done") && job.done.size() < job.tasks) {
      violated("not_done", id + " has " + job.done.size() + " of " + job.tasks);
    }
    if (phase.equals("done") && job.toldDoneAt == null) {
      job.toldDoneAt = world.seconds();
    }
    if (phase.equals("cancelled") && job.cancelledAt == null) {
      job.cancelledAt = world.seconds();
    }
    job.told = phase;
    if (!open && job.overAt == null) {
      job.overAt = world.seconds();
      news = true;
    }
    if (news) {
      onNews.accept(job);
    }
  }

  /** A repeated submission of an accepted job was refused for good. */
  void refused(String id, int status) {
    TrueJob job = jobs.get(id);
    if (job != null && job.accepted) {
      violated("forgotten", id + " resubmitted got " + status);
    }
  }
}
