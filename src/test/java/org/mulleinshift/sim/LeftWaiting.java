package org.mulleinshift.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Watches for accepted jobs of which nothing runs although a machine that fits has room and their
 * team is under its limit, all the time for 90 s, once troubles are over.
 */
final class LeftWaiting {
  private static final double LONGEST = 90;

  private final World world;
  private final RuleBook rules;
  private final SimCloud cloud;
  private final Predicate<String> leftAlone;
  private final Map<String, Double> since = new HashMap<>();
  private final Set<String> told = new HashSet<>();

  /**
   * @param leftAlone jobs that the build can't read
   */
  LeftWaiting(World world, RuleBook rules, SimCloud cloud, Predicate<String> leftAlone) {
    this.world = world;
    this.rules = rules;
    this.cloud = cloud;
    this.leftAlone = leftAlone;
  }

  void start() {
    world.after(1, this::start);
    for (RuleBook.TrueJob job : rules.jobs()) {
      if (!couldRun(job)) {
        since.remove(job.id);
      } else if (world.seconds() - since.computeIfAbsent(job.id, id -> world.seconds()) > LONGEST
          && told.add(job.id)) {
        rules.violated("left_waiting", job.id + " since " + since.get(job.id));
      }
    }
  }

  private boolean couldRun(RuleBook.TrueJob job) {
    boolean waits =
        job.accepted
            && !job.cancelAsked
            && job.done.size() < job.tasks
            && rules.runningTasks(job.id) == 0
            && rules.fallenAt(job) == null
            && !job.flag("fails", false)
            && !leftAlone.test(job.id);
    return waits
        && job.awaits.stream()
            .allMatch(need -> rules.job(need).done.size() == rules.job(need).tasks)
        && rules.underLimit(job)
        && cloud.up().stream().anyMatch(machine -> fits(job, machine));
  }

  private boolean fits(RuleBook.TrueJob job, SimCloud.Machine machine) {
    return machine.worker.hasCapacity(job.number("cpus", 1))
        && job.number("ram", 1) <= cloud.type(machine.type).ram()
        && (!machine.spot || job.flag("spot", true))
        && job.fields.getOrDefault("zone", machine.zone).equals(machine.zone)
        && job.fields.getOrDefault("type", machine.type).equals(machine.type)
        && rules.zonesKept(job, machine.zone);
  }
}
