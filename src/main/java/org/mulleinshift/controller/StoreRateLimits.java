package org.mulleinshift.controller;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.store.KeyValueStore;

/** Divides the store's limits of requests and writes per second between the controllers. */
final class StoreRateLimits {
  /** Share of the writes for the leader. */
  private static final double LEADER_WRITE_SHARE = 0.75;

  /** Share of the writes for all followers together. */
  private static final double FOLLOWERS_WRITE_SHARE = 0.4;

  /**
   * Minimum share of the writes for each follower. User requests come in bursts: with only a few
   * writes per second a follower would refuse them all the time.
   */
  private static final double MIN_WRITE_SHARE = 0.2;

  /**
   * A controller may use this multiple of its even share of the requests, since not all controllers
   * use theirs at the same time.
   */
  private static final double EVEN_SHARE_MULTIPLIER = 1.4;

  /** Share of the store's requests for the watches of all controllers. */
  private static final double WATCH_SHARE = 0.25;

  /** One for the active jobs and one for the control keys. */
  private static final double WATCHES_PER_CONTROLLER = 2;

  /** Share of the store's requests for connection probes of all controllers. */
  private static final double PROBE_SHARE = 0.05;

  private static final Duration MIN_PROBE_INTERVAL = Duration.ofMillis(500);

  private static final double MILLIS_PER_SECOND = 1000;

  private final PlatformSettings.Cluster cluster;

  /** Creates the limits for the controllers of a cluster. */
  StoreRateLimits(PlatformSettings.Cluster cluster) {
    this.cluster = cluster;
  }

  /** Creates a client of the store that is limited to the rates of a follower. */
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

  /** Returns the maximum number of requests per second of one controller. */
  double requestsPerSecond() {
    double evenShare = 1.0 / Math.max(1, cluster.size());
    return cluster.storeLimits().requestsPerSecond()
        * Math.min(1, evenShare * EVEN_SHARE_MULTIPLIER);
  }

  /**
   * Returns the writes per second of the leader, which stores all progress of jobs and machines.
   */
  double leaderWritesPerSecond() {
    return cluster.storeLimits().writesPerSecond() * LEADER_WRITE_SHARE;
  }

  /** Returns the writes per second of one follower; followers accept and cancel jobs. */
  double followerWritesPerSecond() {
    if (cluster.size() == 1) {
      return leaderWritesPerSecond();
    }
    int followers = Math.max(1, cluster.size() - 1);
    double share = Math.max(MIN_WRITE_SHARE, FOLLOWERS_WRITE_SHARE / followers);
    return cluster.storeLimits().writesPerSecond() * share;
  }

  /**
   * Returns the minimum time between two requests of a watch. Every watched change costs each
   * controller a request, so the watches of all controllers share a part of the request rate.
   */
  Duration minWatchInterval() {
    double seconds =
        WATCHES_PER_CONTROLLER
            * cluster.size()
            / (WATCH_SHARE * cluster.storeLimits().requestsPerSecond());
    return Duration.ofMillis((long) (MILLIS_PER_SECOND * seconds));
  }

  /** Returns the time between two probes of one controller's connection to the store. */
  Duration probeInterval() {
    double probesPerSecond =
        PROBE_SHARE * cluster.storeLimits().requestsPerSecond() / cluster.size();
    Duration interval = Duration.ofMillis((long) (MILLIS_PER_SECOND / probesPerSecond));
    return interval.compareTo(MIN_PROBE_INTERVAL) < 0 ? MIN_PROBE_INTERVAL : interval;
  }
}
