package org.mulleinshift.scenario;

import java.util.List;
import org.mulleinshift.scenario.RandomScenarioBuilder.DoubleRange;
import org.mulleinshift.scenario.RandomScenarioBuilder.IntRange;

/** Generates faults at random times. A kind that is listed twice is chosen twice as often. */
final class RandomFaults {
  /** When faults begin, seconds. */
  static final DoubleRange TIMES = new DoubleRange(10, 140);

  private static final DoubleRange LENGTH = new DoubleRange(3, 40);
  private static final IntRange MACHINE = new IntRange(0, 6);

  /** Before this time a machine number may not exist yet. */
  private static final double MACHINES_UP_AT_SECONDS = 60;

  private static final double FIRST_MACHINES_UP_AT_SECONDS = 30;
  private static final DoubleRange SECOND_CRASH_AFTER = new DoubleRange(0.5, 1);

  private final RandomScenarioBuilder builder;

  /** The detail is what a cut does to the messages on its link: drop or hold them. */
  private final List<RandomFault<String>> kinds =
      List.of(
          (at, length, mode) -> add("at %.1f crash %s", at, controller()),
          (at, length, mode) -> add("at %.1f crash all", at),
          this::stall,
          this::stall,
          (at, length, mode) ->
              add("at %.1f cut %s worker* %.1f %s", at, controller(), length, mode),
          (at, length, mode) -> add("at %.1f cut %s state %.1f %s", at, controller(), length, mode),
          (at, length, mode) -> add("at %.1f cut %s * %.1f %s", at, controller(), length, mode),
          (at, length, mode) -> add("at %.1f cut %s node* %.1f %s", at, controller(), length, mode),
          (at, length, mode) -> cutOneWay(at, controller(), hosts(), length, mode),
          (at, length, mode) -> cutOneWay(at, hosts(), controller(), length, mode),
          (at, length, mode) -> add("at %.1f state outage %.1f", at, length / 2),
          (at, length, mode) ->
              add("at %.1f state %s %s %.1f", at, one("refuse", "mute"), controller(), length),
          (at, length, mode) -> add("at %.1f state compact", at),
          (at, length, mode) -> add("at %.1f cloud %s %.1f", at, one("outage", "stuck"), length),
          (at, length, mode) ->
              add("at %.1f cloud boots %s %.1f", at, one("0.05", "3", "6"), length),
          (at, length, mode) -> add("at %.1f polls 8 %.1f", at, length),
          (at, length, mode) -> add("at %.1f machine %d hang %.1f", whenUp(at), machine(), length),
          this::endOrSlowMachine);

  /** The detail is a controller. */
  private final List<RandomFault<String>> newerKinds =
      List.of(
          (at, length, controller) ->
              add("at %.1f machine %d deaf %.1f", whenFirstUp(at), machine(), length),
          (at, length, controller) ->
              add("at %.1f machine %s deaf %.1f stays", whenFirstUp(at), one("0", "half"), length),
          (at, length, controller) -> add("at %.1f copies 1 40 %.1f", at, length),
          this::isolate,
          (at, length, controller) ->
              add("at %.1f crash %s %s", at, one(controller, "all"), one("0.05", "0.2")),
          this::crashTwo);

  RandomFaults(RandomScenarioBuilder builder) {
    this.builder = builder;
  }

  /** Adds a fault of one of the original kinds. */
  void add() {
    double at = builder.valueIn(TIMES);
    double length = builder.valueIn(LENGTH);
    String mode = one("drop", "hold");
    builder.choose(kinds).add(at, length, mode);
  }

  /** Adds a fault of one of the kinds that were added later. */
  void addNewerKind() {
    double at = builder.valueIn(TIMES);
    double length = builder.valueIn(LENGTH);
    String controller = controller();
    builder.choose(newerKinds).add(at, length, controller);
  }

  private void stall(double at, double length, String mode) {
    add("at %.1f stall %s %.1f", at, controller(), length);
  }

  private void cutOneWay(double at, String from, String to, double length, String mode) {
    add("at %.1f cut-one-way %s %s %.1f %s", at, from, to, length, mode);
  }

  private void endOrSlowMachine(double at, double length, String mode) {
    int machine = machine();
    String what = one("kill", "sick", "slow 4", "recall 8", "recall 1");
    add("at %.1f machine %d %s", whenUp(at), machine, what);
  }

  private void isolate(double at, double length, String controller) {
    add("at %.1f cut %s state %.1f hold", at, controller, length);
    add("at %.1f cut %s node-* %.1f hold", at, controller, length);
  }

  private void crashTwo(double at, double length, String controller) {
    add("at %.1f crash %s %s", at, controller, one("0.05", "0.2", "3"));
    add("at %.1f crash leader %s", builder.after(at, SECOND_CRASH_AFTER), one("0.05", "0.2"));
  }

  private static double whenUp(double at) {
    return Math.max(at, MACHINES_UP_AT_SECONDS);
  }

  private static double whenFirstUp(double at) {
    return Math.max(at, FIRST_MACHINES_UP_AT_SECONDS);
  }

  private void add(String format, Object... values) {
    builder.add(format, values);
  }

  private String one(String... choices) {
    return builder.choose(choices);
  }

  private String controller() {
    return builder.controller();
  }

  private String hosts() {
    return one("state", "worker*", "node*");
  }

  private int machine() {
    return builder.valueIn(MACHINE);
  }
}
