package org.mulleinshift.controller;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.store.KeyValueStore;

/** How the controllers of a cluster share the store's rates of requests and writes. */
final class StoreRateLimits {
  private static final double LEADER_WRITE_SHARE = 0.75;
  private static final double FOLLOWERS_WRITE_SHARE = 0.4;

  /** Users come in bursts: a share of a few writes a second would refuse them all the time. */
  private static final double MIN_WRITE_SHARE = 0.2;

  /** Each may use more than its even share of requests, since not all do at the same time. */
  private static final double EVEN_SHARE_MULTIPLIER = 1.4;

  /** Share of the store's requests that watches may use. */
  private static final double WATCH_SHARE = 0.25;

  /** Watches of one controller: active jobs and control keys. */
  private static final double WATCHES_PER_CONTROLLER = 2;

  /** Share of the store's requests that probes of all controllers' connections may use. */
  private static final double PROBE_SHARE = 0.05;

  private static final Duration MIN_PROBE_INTERVAL = Duration.ofMillis(500);

  private static final double MILLIS_PER_SECOND = 1000;

  private final PlatformSettings.Cluster cluster;

  /** The limits of a cluster's controllers. */
  StoreRateLimits(PlatformSettings.Cluster cluster) {
    this.cluster = cluster;
  }

  /** A client of the store that keeps to the rates of a controller that does not lead. */
  KeyValueStore createClient(Controller.Ports ports, InetSocketAddress address) {
    return new KeyValueStore(
        ports.loop(),
        ports.storeClient(),
        ports.watchClient(),
        address,
        new KeyValueStore.Rates(
            requestsPerSecond(),
            followerWritesPerSecond(),
            cluster.storeLimits().requestsShareAfterReduction(),
            cluster.storeLimits().writesShareAfterReduction()));
  }

  /** Requests a second of one controller. */
  double requestsPerSecond() {
    double evenShare = 1.0 / Math.max(1, cluster.size());
    return cluster.storeLimits().requestsPerSecond()
        * Math.min(1, evenShare * EVEN_SHARE_MULTIPLIER);
  }

  /** Writes a second of the leader, which stores all progress of jobs and machines. */
  double leaderWritesPerSecond() {
    return cluster.storeLimits().writesPerSecond() * LEADER_WRITE_SHARE;
  }

  /** Writes a second of one of the others, which accept and cancel jobs. */
  double followerWritesPerSecond() {
    if (cluster.size() == 1) {
      return leaderWritesPerSecond();
    }
    int followers = Math.max(1, cluster.size() - 1);
    double share = Math.max(MIN_WRITE_SHARE, FOLLOWERS_WRITE_SHARE / followers);
    return cluster.storeLimits().writesPerSecond() * share;
  }

  /**
   * Time between two requests of a watch. Every change that is watched costs each controller a
   * request: they share a part of the rate.
   */
  Duration minWatchInterval() {
    double seconds =
        WATCHES_PER_CONTROLLER
            * cluster.size()
            / (WATCH_SHARE * cluster.storeLimits().requestsPerSecond());
    return Duration.ofMillis((long) (MILLIS_PER_SECOND * seconds));
  }

  /** Time between two probes of one controller's connection to the store. */
  Duration probeInterval() {
    double probesPerSecond =
        PROBE_SHARE * cluster.storeLimits().requestsPerSecond() / cluster.size();
    Duration interval = Duration.ofMillis((long) (MILLIS_PER_SECOND / probesPerSecond));
    return interval.compareTo(MIN_PROBE_INTERVAL) < 0 ? MIN_PROBE_INTERVAL : interval;
  }
}
