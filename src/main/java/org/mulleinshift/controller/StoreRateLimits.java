package org.mulleinshift.controller;

import java.time.Duration;
import org.mulleinshift.settings.PlatformSettings;

/** How the controllers of a cluster share the rates of the state service. */
final class StoreRateLimits {
  private static final double LEADER_WRITES = 0.75;
  private static final double OTHER_WRITES = 0.4;

  /** Users come in bursts: a share of a few writes a second would refuse them all the time. */
  private static final double MIN_WRITES = 0.2;

  /** Each may use more than its even share, since not all do at the same time. */
  private static final double ABOVE_EVEN_SHARE = 1.4;

  private static final double WATCH_SHARE = 0.25;

  /** Jobs and control. */
  private static final double WATCHES = 2;

  /** Calls of its own by which a node learns of its link: this share of the state's requests. */
  private static final double PROBE_SHARE = 0.05;

  private static final Duration MIN_PROBE = Duration.ofMillis(500);

  private final PlatformSettings.Cluster cluster;

  StoreRateLimits(PlatformSettings.Cluster cluster) {
    this.cluster = cluster;
  }

  /** Requests a second of one controller. */
  double requests() {
    double share = 1.0 / Math.max(1, cluster.size());
    return cluster.store().requestsPerSecond() * Math.min(1, share * ABOVE_EVEN_SHARE);
  }

  /**
   * Changes a second of one controller. The leader writes most: all progress of jobs and machines.
   * The others accept and cancel.
   */
  double writes(boolean leading) {
    int others = Math.max(1, cluster.size() - 1);
    double share =
        leading || cluster.size() == 1
            ? LEADER_WRITES
            : Math.max(MIN_WRITES, OTHER_WRITES / others);
    return cluster.store().writesPerSecond() * share;
  }

  /**
   * Every change that is watched costs each controller a request: they share a part of the rate.
   */
  Duration watchSpacing() {
    double seconds = WATCHES * cluster.size() / (WATCH_SHARE * cluster.store().requestsPerSecond());
    return Duration.ofMillis((long) (1000 * seconds));
  }

  /** Time between two probes of a node's link to the state service. */
  Duration probeSpacing() {
    double probes = PROBE_SHARE * cluster.store().requestsPerSecond() / cluster.size();
    Duration spacing = Duration.ofMillis((long) (1000 / probes));
    return spacing.compareTo(MIN_PROBE) < 0 ? MIN_PROBE : spacing;
  }
}
