package org.mulleinshift.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiPredicate;
import org.mulleinshift.bookkeeping.ControlView.MachineRecord;
import org.mulleinshift.bookkeeping.Delegation;
import org.mulleinshift.bookkeeping.Job;
import org.mulleinshift.protocol.Priority;
import org.mulleinshift.transport.SteadyTime;

/**
 * Chooses tasks that give way to a job of higher priority: only such as have run for a short while,
 * the shortest first, so that little work is lost.
 */
final class Preemption {
  private static final int MOST_ROOM = 2;

  private record Victim(Job job, Delegation delegation, double ranSeconds, int makesRoomFor) {}

  private final double mostSeconds;
  private final double slackSeconds;

  Preemption(double mostSeconds, double slackSeconds) {
    this.mostSeconds = mostSeconds;
    this.slackSeconds = slackSeconds;
  }

  /** What decides whether work may be stopped for a job, and keeps count of what was. */
  interface GivesWay {
    boolean mayStop(Job other);

    void stopped(Job other);
  }

  /**
   * Whether the job is so near the last moment for its start that work should be lost for it. On a
   * large fleet tasks end all the time, and most jobs get their room from those.
   */
  boolean pressing(Job job, double expectedSeconds, long nowMillis) {
    return job.spec().deadlineSeconds().isEmpty()
        || job.dueMillis() - nowMillis - 1000 * expectedSeconds <= 1000 * slackSeconds;
  }

  /** Tasks whose stop makes room for so many of the job's tasks. */
  List<Delegation> victims(
      Job job,
      int wanted,
      List<Job> jobs,
      GivesWay rule,
      BiPredicate<Job, Delegation> usable,
      SteadyTime now) {
    PlacementNeed need = PlacementNeed.of(job.spec());
    List<Victim> candidates = new ArrayList<>();
    int missing = wanted;
    for (Job other : jobs) {
      if (!rule.mayStop(other)) {
        continue;
      }
      int room = need.perTask().countIn(other.spec().perTask());
      for (Delegation delegation : other.delegations()) {
        if (room == 0 || !usable.test(job, delegation)) {
          continue;
        }
        if (delegation.stopRequested()) {
          // Already giving way: its room is on the way.
          missing -= room;
          continue;
        }
        double ran = delegation.runningSince().map(now::secondsSince).orElse(0.0);
        // A large task that gives way to a few small ones loses more than they win.
        if (ran <= mostSeconds && room <= MOST_ROOM) {
          candidates.add(new Victim(other, delegation, ran, room));
        }
      }
    }
    candidates.sort(Comparator.comparingDouble(Victim::ranSeconds));
    List<Delegation> chosen = new ArrayList<>();
    for (Victim victim : candidates) {
      if (missing <= 0) {
        break;
      }
      if (!rule.mayStop(victim.job())) {
        continue;
      }
      rule.stopped(victim.job());
      chosen.add(victim.delegation());
      missing -= victim.makesRoomFor();
    }
    return chosen;
  }

  static boolean mayPreempt(Job job) {
    return job.state() == Job.State.ACTIVE && job.spec().priority().above(Priority.NORMAL);
  }

  /** On a machine that the preempting job may use. */
  static boolean onUsableMachine(Job job, Optional<MachineRecord> machine) {
    return machine
        .filter(record -> PlacementNeed.of(job.spec()).allows(record.type(), record.spot()))
        .isPresent();
  }
}
