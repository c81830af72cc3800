package org.mulleinshift.simulation;

import java.util.ArrayList;
import java.util.List;
import org.mulleinshift.simulation.time.Timeline;

/** When leaders' terms began, shards were granted and progress was stored. */
public final class StoreHistory {
  static final String LEADER_KEY = "c/leader";
  static final String GRANT_PREFIX = "c/g/";

  private final Timeline timeline;
  private final List<Double> termStarts = new ArrayList<>();
  private final List<Double> grants = new ArrayList<>();
  private final List<Double> progressWrites = new ArrayList<>();
  private Runnable onTerm = () -> {};
  private int writeCount;

  StoreHistory(Timeline timeline) {
    this.timeline = timeline;
  }

  /** Calls the listener whenever a term begins. */
  public void onTermStart(Runnable listener) {
    onTerm = listener;
  }

  void countWrite() {
    writeCount++;
  }

  void recordSet(String key) {
    if (key.equals(LEADER_KEY)) {
      termStarts.add(timeline.seconds());
      onTerm.run();
    } else if (key.startsWith(GRANT_PREFIX)) {
      grants.add(timeline.seconds());
    } else if (key.startsWith("p/") || key.startsWith("l/")) {
      progressWrites.add(timeline.seconds());
    }
  }

  /** How many keys transactions have set or deleted. */
  public int writeCount() {
    return writeCount;
  }

  /** Whether a term began within these times. */
  public boolean termBeganBetween(double from, double to) {
    return termStarts.stream().anyMatch(at -> at >= from && at <= to);
  }

  /** When a term began first after that time; {@link Double#MAX_VALUE} if none did. */
  public double firstTermAfter(double time) {
    return firstAfter(termStarts, time);
  }

  /** When progress was stored first after that time; {@link Double#MAX_VALUE} if none was. */
  public double firstProgressAfter(double time) {
    return firstAfter(progressWrites, time);
  }

  private static double firstAfter(List<Double> times, double time) {
    return times.stream().filter(at -> at >= time).findFirst().orElse(Double.MAX_VALUE);
  }

  /** How many shards were granted after that time. */
  public long grantsAfter(double time) {
    return grants.stream().filter(at -> at > time).count();
  }
}
