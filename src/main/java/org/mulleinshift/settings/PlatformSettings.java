package org.mulleinshift.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** What the platform hands to every controller. */
public record PlatformSettings(
    String label,
    String zone,
    InetSocketAddress publicAddress,
    InetSocketAddress peerBind,
    List<Member> members,
    InetSocketAddress cloud,
    InetSocketAddress store,
    Cluster cluster,
    Limits limits) {

  public record Member(String label, String zone, InetSocketAddress address) {}

  public record Cluster(
      int size,
      List<String> zones,
      Duration clockOff,
      List<Team> teams,
      List<Objective> objectives,
      WorkerTiming workers,
      StoreLimits store,
      CloudLimits cloud) {}

  /** A maximum of 0 means that there is none. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

  /**
   * An aim.
   *
   * @param times of kind {@code deadline}: how many times its deadline a job may take; 0: not said
   */
  public record Objective(
      String kind, Optional<String> jobClass, double withinSeconds, double times) {}

  public record WorkerTiming(Duration reportInterval, Duration lease, Duration cancel) {}

  /**
   * The state service's limits.
   *
   * @param next those that it will have from some moment on, unannounced
   */
  public record StoreLimits(
      double requestsPerSecond,
      double writesPerSecond,
      int valueBytes,
      int transactionOperations,
      Optional<StoreLimits> next) {
    public StoreLimits(
        double requestsPerSecond, double writesPerSecond, int valueBytes, int txnOps) {
      this(requestsPerSecond, writesPerSecond, valueBytes, txnOps, Optional.empty());
    }

    /** What is written must fit before and after that moment. */
    public int minValueBytes() {
      return Math.min(valueBytes, next.map(StoreLimits::valueBytes).orElse(valueBytes));
    }

    public int minTransactionOperations() {
      return Math.min(
          transactionOperations,
          next.map(StoreLimits::transactionOperations).orElse(transactionOperations));
    }

    /** What is left of the rate of changes after that moment. */
    public double writesShareAfterReduction() {
      return Math.min(
          1, next.map(StoreLimits::writesPerSecond).orElse(writesPerSecond) / writesPerSecond);
    }

    /** What is left of the rate of requests after that moment. */
    public double requestsShareAfterReduction() {
      return Math.min(
          1,
          next.map(StoreLimits::requestsPerSecond).orElse(requestsPerSecond) / requestsPerSecond);
    }
  }

  public record CloudLimits(double requestsPerSecond, Duration listLag) {}

  public record Limits(double cpu, double memoryMb, int sockets) {}
}
