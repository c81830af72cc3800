package org.mulleinshift.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The settings that the platform provides to a controller.
 *
 * @param label this controller's name
 * @param zone this controller's zone
 * @param publicAddress address to which users, workers and health checks connect
 * @param peerBindAddress listen address for connections from other controllers
 * @param members the other controllers
 * @param cloudAddress address of the cloud's API
 * @param storeAddress address of the key-value store
 * @param cluster settings shared by all controllers
 * @param processLimits resource limits of this process
 */
public record PlatformSettings(
    String label,
    String zone,
    InetSocketAddress publicAddress,
    InetSocketAddress peerBindAddress,
    List<Member> members,
    InetSocketAddress cloudAddress,
    InetSocketAddress storeAddress,
    Cluster cluster,
    ProcessLimits processLimits) {

  /** Another controller. */
  public record Member(String label, String zone, InetSocketAddress address) {}

  /**
   * Settings shared by all controllers.
   *
   * @param size number of controllers
   * @param maxClockError maximum error of the wall clock
   */
  public record Cluster(
      int size,
      List<String> zones,
      Duration maxClockError,
      List<Team> teams,
      List<Objective> objectives,
      WorkerTiming workerTiming,
      StoreLimits storeLimits,
      CloudLimits cloudLimits) {}

  /** A team's quota: guaranteed and maximum CPUs and GPUs. A maximum of 0 means unlimited. */
  public record Team(
      String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {}

  /**
   * A service-level objective.
   *
   * @param kind what is measured
   * @param jobClass the job class to which it applies; empty: all classes
   * @param withinSeconds target time; 0: not set
   * @param deadlineFactor for kind {@code deadline}: the multiple of the time until its deadline
   *     that a job may take; 0: not set
   */
  public record Objective(
      ObjectiveKind kind, Optional<String> jobClass, double withinSeconds, double deadlineFactor) {}

  /**
   * Intervals and timeouts of workers.
   *
   * @param heartbeatInterval time between two heartbeats
   * @param lease time without a response after which a worker kills its tasks
   * @param cancelWithin time within which the tasks of a cancelled job must have stopped
   */
  public record WorkerTiming(Duration heartbeatInterval, Duration lease, Duration cancelWithin) {}

  /**
   * The limits of the key-value store.
   *
   * @param next limits that will replace these at a time that is not announced in advance, if any
   */
  public record StoreLimits(
      double requestsPerSecond,
      double writesPerSecond,
      int maxValueBytes,
      int maxTransactionOperations,
      Optional<StoreLimits> next) {
    /** Limits without an upcoming change. */
    public StoreLimits(
        double requestsPerSecond,
        double writesPerSecond,
        int valueBytes,
        int transactionOperations) {
      this(requestsPerSecond, writesPerSecond, valueBytes, transactionOperations, Optional.empty());
    }

    /** The maximum length of a value that is allowed both before and after the change of limits. */
    public int lowestMaxValueBytes() {
      return Math.min(maxValueBytes, next.map(StoreLimits::maxValueBytes).orElse(maxValueBytes));
    }

    /**
     * The maximum number of operations in a transaction that is allowed both before and after the
     * change of limits.
     */
    public int lowestMaxTransactionOperations() {
      return Math.min(
          maxTransactionOperations,
          next.map(StoreLimits::maxTransactionOperations).orElse(maxTransactionOperations));
    }

    /**
     * The fraction of the current write rate that remains after the change of limits; at most 1.
     */
    public double writesShareAfterReduction() {
      return Math.min(
          1, next.map(StoreLimits::writesPerSecond).orElse(writesPerSecond) / writesPerSecond);
    }

    /**
     * The fraction of the current request rate that remains after the change of limits; at most 1.
     */
    public double requestsShareAfterReduction() {
      return Math.min(
          1,
          next.map(StoreLimits::requestsPerSecond).orElse(requestsPerSecond) / requestsPerSecond);
    }
  }

  /**
   * The limits of the cloud's API.
   *
   * @param listLag typical delay until the machine list shows a change
   */
  public record CloudLimits(double requestsPerSecond, Duration listLag) {}

  /**
   * The resource limits of this process.
   *
   * @param cpuCores number of processor cores; may be a fraction
   * @param maxFileDescriptors maximum number of open sockets and files
   */
  public record ProcessLimits(double cpuCores, double memoryMb, int maxFileDescriptors) {}
}
