package org.mulleinshift.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Scenarios in which network links are cut. A table lists the controllers, the other end of the
 * link, the direction, the mode and duration of the cut, a second fault and the number of
 * controllers; each number stands for one combination.
 */
public final class CutScenario {
  private static final String TWO_CONTROLLERS = "two";
  private static final String LEADER = "leader";
  private static final String STORE = "state";
  private static final String REFUSE = "refuse";
  private static final String BOTH_DIRECTIONS = "both";
  private static final String FROM_CONTROLLER = "from";
  private static final String NO_SECOND_FAULT = "none";
  private static final int LONG_CUT_SECONDS = 45;
  private static final int MAX_SECOND_FAULT_DELAY_SECONDS = 5;
  private static final int CUT_AT = 40;
  private static final int SECOND_JOB_DELAY_SECONDS = 4;
  private static final double FAILOVER_SECONDS = 2.5;

  private static final List<String> ROLES = List.of(LEADER, "holder-of-a", TWO_CONTROLLERS);
  private static final List<String> LINKS =
      List.of(STORE, "worker*", "worker-orders", "node*", "cloud");
  private static final List<String> DIRECTIONS = List.of(BOTH_DIRECTIONS, FROM_CONTROLLER, "to");
  private static final List<String> MODES = List.of("drop", "hold", REFUSE);
  private static final List<Integer> SECONDS = List.of(1, 6, LONG_CUT_SECONDS);
  private static final List<String> SECOND_FAULTS =
      List.of(
          NO_SECOND_FAULT,
          "crash leader",
          "state outage 8",
          "stall leader 7",
          "cut holder-of-b worker* 30 hold");
  private static final List<Integer> CONTROLLER_COUNTS = List.of(3, 5);

  /** The number of combinations. */
  public static final int COUNT =
      ROLES.size()
          * LINKS.size()
          * DIRECTIONS.size()
          * MODES.size()
          * SECONDS.size()
          * SECOND_FAULTS.size()
          * CONTROLLER_COUNTS.size();

  /** A cut of the links between the controllers of a role and other hosts. */
  private record Cut(String role, String link, String direction, String mode, int seconds) {
    List<String> commands() {
      List<String> controllers =
          role.equals(TWO_CONTROLLERS) ? List.of("node-0", "node-1") : List.of(role);
      return controllers.stream().map(this::command).toList();
    }

    /** Only the store can refuse requests; on other links the messages are dropped instead. */
    private String command(String controller) {
      if (mode.equals(REFUSE) && link.equals(STORE)) {
        return "state refuse " + controller + " " + seconds;
      }
      String kind = mode.equals(REFUSE) ? "drop" : mode;
      return switch (direction) {
        case BOTH_DIRECTIONS ->
            String.join(" ", "cut", controller, link, Integer.toString(seconds), kind);
        case FROM_CONTROLLER ->
            String.join(" ", "cut-one-way", controller, link, Integer.toString(seconds), kind);
        default ->
            String.join(" ", "cut-one-way", link, controller, Integer.toString(seconds), kind);
      };
    }

    boolean leavesWorkersReachable() {
      return !link.startsWith("worker");
    }

    /** Whether the leader is cut off from the store for so long that it must be replaced. */
    boolean endsTerm() {
      boolean complete = direction.equals(BOTH_DIRECTIONS) || mode.equals(REFUSE);
      return complete && seconds == LONG_CUT_SECONDS && link.equals(STORE) && role.equals(LEADER);
    }
  }

  private final List<String> lines = new ArrayList<>();
  private int remainder;

  private CutScenario(int number) {
    remainder = number;
  }

  /** The lines of a combination; numbers run from 0 to {@link #COUNT} - 1. */
  public static List<String> lines(int number) {
    return new CutScenario(number).compose();
  }

  private <T> T pick(List<T> choices) {
    int index = remainder % choices.size();
    remainder /= choices.size();
    return choices.get(index);
  }

  private List<String> compose() {
    Cut cut = new Cut(pick(ROLES), pick(LINKS), pick(DIRECTIONS), pick(MODES), pick(SECONDS));
    String secondFault = pick(SECOND_FAULTS);
    boolean alone = secondFault.equals(NO_SECOND_FAULT);
    add("nodes %d", pick(CONTROLLER_COUNTS));
    add("type small cpus=8 boot=8 a=12 b=12");
    add("team t max=0");
    add("set block_machines 4");
    add("at 3 job run-1 tasks=48 cpus=2 run=60");
    add("at %d job run-2 tasks=16 cpus=2 run=10", CUT_AT + SECOND_JOB_DELAY_SECONDS);
    cut.commands().forEach(command -> add("at %d %s", CUT_AT, command));
    if (!alone) {
      double delay = Math.min(cut.seconds(), MAX_SECOND_FAULT_DELAY_SECONDS) / 2.0;
      add("at %.1f %s", CUT_AT + delay, secondFault);
    }
    add("run 300");
    add("expect done run-1 by 300");
    add("expect done run-2 by 300");
    if (alone && cut.leavesWorkersReachable()) {
      // Workers stay reachable, so no task may be lost and started again.
      add("expect starts run-1 max 48");
      add("expect starts run-2 max 16");
    }
    if (alone && cut.endsTerm()) {
      add("expect led %d by %.1f", CUT_AT, CUT_AT + FAILOVER_SECONDS);
    }
    return lines;
  }

  private void add(String format, Object... values) {
    lines.add(String.format(Locale.ROOT, format, values));
  }
}
