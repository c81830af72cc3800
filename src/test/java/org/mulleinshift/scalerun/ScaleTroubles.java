package org.mulleinshift.scalerun;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Troubles of a scale run at their times, and how long each cell started no task. */
final class ScaleTroubles {
  private static final Set<String> LASTING =
      Set.of("zone-dark", "state-out", "controller-unreachable");

  private record Trouble(double at, String kind, double amount) {
    static Trouble read(String text) {
      String[] words = text.split(":", 0);
      if (words.length < 2) {
        throw new IllegalArgumentException("not a trouble: " + text);
      }
      double amount = words.length > 2 ? Double.parseDouble(words[2]) : 0;
      return new Trouble(Double.parseDouble(words[0]), words[1], amount);
    }

    /** When it is over, as far as its line says. */
    double until() {
      boolean lasts = LASTING.contains(kind);
      return at + (lasts ? amount : 0);
    }
  }

  /**
   * What a trouble did.
   *
   * @param longestGap longest time without any start in a cell, from the trouble until some time
   *     after its end
   */
  record Healed(String trouble, double longestGap) {}

  private static final double WATCHED_SECONDS = 10;

  private final List<Trouble> open = new ArrayList<>();
  private final List<ScaleCell> cells;
  private final List<Healed> healed = new ArrayList<>();
  private double lastAt;

  ScaleTroubles(List<String> lines, List<ScaleCell> cells) {
    this.cells = cells;
    lines.forEach(line -> open.add(Trouble.read(line)));
    open.forEach(trouble -> lastAt = Math.max(lastAt, trouble.until()));
  }

  /** Seconds from the begin of the load to the end of the last trouble. */
  double lastAt() {
    return lastAt;
  }

  /** Plays in every cell what is due by then. */
  void play(double now) {
    for (Trouble trouble : List.copyOf(open)) {
      if (trouble.at() <= now) {
        open.remove(trouble);
        cells.forEach(cell -> cell.cause(trouble.kind(), trouble.amount()));
        watch(trouble);
      }
    }
  }

  private void watch(Trouble trouble) {
    for (int i = 0; i < cells.size(); i++) {
      String name = "cell " + i + ", " + trouble.at() + " s " + trouble.kind();
      cells
          .get(i)
          .watchGap(trouble.until() - trouble.at() + WATCHED_SECONDS, gap -> add(name, gap));
    }
  }

  private synchronized void add(String name, double gap) {
    healed.add(new Healed(name, gap));
  }

  synchronized List<Healed> healed() {
    return List.copyOf(healed);
  }
}
