package org.mulleinshift.invariants;

import java.util.ArrayList;
import java.util.List;
import org.mulleinshift.simulation.time.Timeline;

/** The violations of rules found so far, in the order in which they were found. */
public final class Violations {
  private final Timeline timeline;
  private final List<String> lines = new ArrayList<>();

  Violations(Timeline timeline) {
    this.timeline = timeline;
  }

  /** Records a violation at the present virtual time. */
  public void add(Rule rule, String detail) {
    lines.add(String.format("%.3f %s: %s", timeline.seconds(), rule, detail));
  }

  /** One line per violation: time in seconds, rule and detail. */
  public List<String> lines() {
    return lines;
  }
}
