package org.mulleinshift.scalerun;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Troubles of a scale run at their times, and how long each cell started no task. */
final class ScaleFaults {
  private static final Set<String> KINDS_WITH_DURATION =
      Set.of("zone-dark", "state-out", "controller-unreachable");

  private record Fault(double at, String kind, double amount) {
    static Fault parse(String text) {
      String[] parts = text.split(":", 0);
      if (parts.length < 2) {
        throw new IllegalArgumentException("not a trouble: " + text);
      }
      double amount = parts.length > 2 ? Double.parseDouble(parts[2]) : 0;
      return new Fault(Double.parseDouble(parts[0]), parts[1], amount);
    }

    /** When it is over, as far as its line says. */
    double endsAt() {
      boolean lasts = KINDS_WITH_DURATION.contains(kind);
      return at + (lasts ? amount : 0);
    }
  }

  /**
   * What a trouble did.
   *
   * @param longestGap longest time without any start in a cell, from the fault until some time
   *     after its end
   */
  record FaultImpact(String fault, double longestGap) {}

  private static final double OBSERVATION_SECONDS = 10;

  private final List<Fault> pending = new ArrayList<>();
  private final List<ScaleCell> cells;
  private final List<FaultImpact> impacts = new ArrayList<>();
  private double lastFaultEnd;

  ScaleFaults(List<String> lines, List<ScaleCell> cells) {
    this.cells = cells;
    lines.forEach(line -> pending.add(Fault.parse(line)));
    pending.forEach(fault -> lastFaultEnd = Math.max(lastFaultEnd, fault.endsAt()));
  }

  /** Seconds from the begin of the load to the end of the last fault. */
  double lastFaultEnd() {
    return lastFaultEnd;
  }

  /** Plays in every cell what is due by then. */
  void injectDue(double now) {
    for (Fault fault : List.copyOf(pending)) {
      if (fault.at() <= now) {
        pending.remove(fault);
        cells.forEach(cell -> cell.injectFault(fault.kind(), fault.amount()));
        measureGap(fault);
      }
    }
  }

  private void measureGap(Fault fault) {
    for (int i = 0; i < cells.size(); i++) {
      String name = "cell " + i + ", " + fault.at() + " s " + fault.kind();
      cells
          .get(i)
          .measureLongestGap(
              fault.endsAt() - fault.at() + OBSERVATION_SECONDS, gap -> add(name, gap));
    }
  }

  private synchronized void add(String name, double gap) {
    impacts.add(new FaultImpact(name, gap));
  }

  synchronized List<FaultImpact> impacts() {
    return List.copyOf(impacts);
  }
}
