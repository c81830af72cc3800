package org.mulleinshift.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.mulleinshift.simulation.time.Timeline;

/** Records when leaders' terms began, shards were granted and progress was stored. */
public final class StoreHistory {
  static final String LEADER_KEY = "c/leader";
  static final String GRANT_PREFIX = "c/g/";

  private final Timeline timeline;
  private final List<Double> termStarts = new ArrayList<>();
  private final List<Double> grants = new ArrayList<>();
  private final List<Double> progressWrites = new ArrayList<>();
  private final Set<String> endedJobKeys = new HashSet<>();
  private int endsStoredAgain;
  private Runnable onTerm = () -> {};
  private int writeCount;

  StoreHistory(Timeline timeline) {
    this.timeline = timeline;
  }

  /** Sets the listener that is called whenever a leader's term begins. */
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
    } else if (key.startsWith("t/") && !endedJobKeys.add(key)) {
      endsStoredAgain++;
    }
  }

  /** How many sets and deletes were applied; keys deleted with their lease do not count. */
  public int writeCount() {
    return writeCount;
  }

  /** How often the end of a job was stored whose end was stored already. */
  public int endsStoredAgain() {
    return endsStoredAgain;
  }

  /** Whether a term began between two times, inclusive, in seconds. */
  public boolean termBeganBetween(double from, double to) {
    return termStarts.stream().anyMatch(at -> at >= from && at <= to);
  }

  /**
   * When the first term at or after a time began, in seconds; {@link Double#MAX_VALUE} if none did.
   */
  public double firstTermAfter(double time) {
    return firstAfter(termStarts, time);
  }

  /**
   * When progress was first stored at or after a time, in seconds; {@link Double#MAX_VALUE} if
   * never.
   */
  public double firstProgressAfter(double time) {
    return firstAfter(progressWrites, time);
  }

  private static double firstAfter(List<Double> times, double time) {
    return times.stream().filter(at -> at >= time).findFirst().orElse(Double.MAX_VALUE);
  }

  /** How many grants were written after a time, in seconds. */
  public long grantsAfter(double time) {
    return grants.stream().filter(at -> at > time).count();
  }
}
