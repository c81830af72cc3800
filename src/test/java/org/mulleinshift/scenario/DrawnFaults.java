package org.mulleinshift.scenario;

import java.util.List;
import org.mulleinshift.scenario.ScenarioDraw.Count;
import org.mulleinshift.scenario.ScenarioDraw.Span;

/** Draws faults at any time of the scenario. A kind that stands twice is drawn twice as often. */
final class DrawnFaults {
  /** When faults begin. */
  static final Span TIMES = new Span(10, 140);

  private static final Span LENGTH = new Span(3, 40);
  private static final Count MACHINE = new Count(0, 6);

  /** Before this time there may be no machine with the number. */
  private static final double MACHINES_UP_AT = 60;

  private static final double FIRST_MACHINES_UP_AT = 30;
  private static final Span SECOND_CRASH_AFTER = new Span(0.5, 1);

  private final ScenarioDraw draw;

  /** Their detail is what becomes of messages on a link that is cut. */
  private final List<DrawnFault<String>> kinds =
      List.of(
          (at, length, mode) -> add("at %.1f crash %s", at, node()),
          (at, length, mode) -> add("at %.1f crash all", at),
          this::stall,
          this::stall,
          (at, length, mode) -> add("at %.1f cut %s worker* %.1f %s", at, node(), length, mode),
          (at, length, mode) -> add("at %.1f cut %s state %.1f %s", at, node(), length, mode),
          (at, length, mode) -> add("at %.1f cut %s * %.1f %s", at, node(), length, mode),
          (at, length, mode) -> add("at %.1f cut %s node* %.1f %s", at, node(), length, mode),
          (at, length, mode) -> cutOneWay(at, node(), hosts(), length, mode),
          (at, length, mode) -> cutOneWay(at, hosts(), node(), length, mode),
          (at, length, mode) -> add("at %.1f state outage %.1f", at, length / 2),
          (at, length, mode) ->
              add("at %.1f state %s %s %.1f", at, one("refuse", "mute"), node(), length),
          (at, length, mode) -> add("at %.1f state compact", at),
          (at, length, mode) -> add("at %.1f cloud %s %.1f", at, one("outage", "stuck"), length),
          (at, length, mode) ->
              add("at %.1f cloud boots %s %.1f", at, one("0.05", "3", "6"), length),
          (at, length, mode) -> add("at %.1f polls 8 %.1f", at, length),
          (at, length, mode) -> add("at %.1f machine %d hang %.1f", whenUp(at), machine(), length),
          this::endOrSlowMachine);

  /** Their detail is a controller. */
  private final List<DrawnFault<String>> laterKinds =
      List.of(
          (at, length, node) ->
              add("at %.1f machine %d deaf %.1f", whenFirstUp(at), machine(), length),
          (at, length, node) ->
              add("at %.1f machine %s deaf %.1f stays", whenFirstUp(at), one("0", "half"), length),
          (at, length, node) -> add("at %.1f copies 1 40 %.1f", at, length),
          this::isolate,
          (at, length, node) ->
              add("at %.1f crash %s %s", at, one(node, "all"), one("0.05", "0.2")),
          this::crashTwo);

  DrawnFaults(ScenarioDraw draw) {
    this.draw = draw;
  }

  /** Adds a fault of the kinds that every sort of scenario has. */
  void add() {
    double at = draw.number(TIMES);
    double length = draw.number(LENGTH);
    String mode = one("drop", "hold");
    draw.one(kinds).addTo(at, length, mode);
  }

  /** Adds a fault of the kinds that came later. */
  void addLater() {
    double at = draw.number(TIMES);
    double length = draw.number(LENGTH);
    String node = node();
    draw.one(laterKinds).addTo(at, length, node);
  }

  private void stall(double at, double length, String mode) {
    add("at %.1f stall %s %.1f", at, node(), length);
  }

  private void cutOneWay(double at, String from, String to, double length, String mode) {
    add("at %.1f cut-one-way %s %s %.1f %s", at, from, to, length, mode);
  }

  private void endOrSlowMachine(double at, double length, String mode) {
    int machine = machine();
    String what = one("kill", "sick", "slow 4", "recall 8", "recall 1");
    add("at %.1f machine %d %s", whenUp(at), machine, what);
  }

  private void isolate(double at, double length, String node) {
    add("at %.1f cut %s state %.1f hold", at, node, length);
    add("at %.1f cut %s node-* %.1f hold", at, node, length);
  }

  private void crashTwo(double at, double length, String node) {
    add("at %.1f crash %s %s", at, node, one("0.05", "0.2", "3"));
    add("at %.1f crash leader %s", draw.after(at, SECOND_CRASH_AFTER), one("0.05", "0.2"));
  }

  private static double whenUp(double at) {
    return Math.max(at, MACHINES_UP_AT);
  }

  private static double whenFirstUp(double at) {
    return Math.max(at, FIRST_MACHINES_UP_AT);
  }

  private void add(String format, Object... values) {
    draw.add(format, values);
  }

  private String one(String... choices) {
    return draw.one(choices);
  }

  private String node() {
    return draw.node();
  }

  private String hosts() {
    return one("state", "worker*", "node*");
  }

  private int machine() {
    return draw.number(MACHINE);
  }
}
