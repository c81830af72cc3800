package org.mulleinshift.scalerun;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Injects the faults of a scale run, and measures how long each cell then started no task. */
final class ScaleFaults {
  private static final Set<String> KINDS_WITH_DURATION =
      Set.of("zone-dark", "state-out", "controller-unreachable");

  private record Fault(double at, String kind, double amount) {
    static Fault parse(String text) {
      String[] parts = text.split(":", 0);
      if (parts.length < 2) {
        throw new IllegalArgumentException("invalid fault, expected AT:KIND[:NUMBER]: " + text);
      }
      double amount = parts.length > 2 ? Double.parseDouble(parts[2]) : 0;
      return new Fault(Double.parseDouble(parts[0]), parts[1], amount);
    }

    /** Seconds into the load at which the fault ends; its start if it has no duration. */
    double endsAt() {
      boolean lasts = KINDS_WITH_DURATION.contains(kind);
      return at + (lasts ? amount : 0);
    }
  }

  /**
   * Effect of a fault on one cell.
   *
   * @param longestGap longest time without a task start in the cell, seconds, from the fault until
   *     {@code OBSERVATION_SECONDS} after its end
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

  /** Seconds from the start of the load to the end of the last fault. */
  double lastFaultEnd() {
    return lastFaultEnd;
  }

  /** Injects in every cell the faults due by this time, in seconds since the load started. */
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
