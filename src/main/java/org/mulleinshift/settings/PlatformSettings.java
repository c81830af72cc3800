package org.mulleinshift.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The settings that the platform gives to every controller.
 *
 * @param label this controller's name
 * @param zone this controller's zone
 * @param publicAddress where users, workers and health checks connect
 * @param peerBindAddress where other controllers connect
 * @param members the other controllers
 * @param cloudAddress address of the cloud's interface
 * @param storeAddress address of the key-value store
 * @param cluster what holds for all controllers
 * @param processLimits of this process
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
   * What holds for all controllers.
   *
   * @param size number of controllers
   * @param maxClockError how far the time of day may be off
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

  /**
   * A team's quota: what it is guaranteed, and what its tasks may use at most. A maximum of 0 means
   * that there is none.
   */
  public record Team(
      String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {}

  /**
   * A service-level objective.
   *
   * @param kind what is measured
   * @param jobClass the class of jobs that it holds for; empty: all
   * @param withinSeconds time allowed; 0: not given
   * @param deadlineFactor of kind {@code deadline}: how many times its deadline a job may take; 0:
   *     not given
   */
  public record Objective(
      ObjectiveKind kind, Optional<String> jobClass, double withinSeconds, double deadlineFactor) {}

  /**
   * Times that workers keep.
   *
   * @param heartbeatInterval between two heartbeats
   * @param lease after which a worker without a response kills its tasks
   * @param cancelWithin within which the tasks of a cancelled job must be gone
   */
  public record WorkerTiming(Duration heartbeatInterval, Duration lease, Duration cancelWithin) {}

  /**
   * The limits of the key-value store.
   *
   * @param next the limits that it will have from some moment on, which is not announced
   */
  public record StoreLimits(
      double requestsPerSecond,
      double writesPerSecond,
      int maxValueBytes,
      int maxTransactionOperations,
      Optional<StoreLimits> next) {
    /** Limits that stay. */
    public StoreLimits(
        double requestsPerSecond,
        double writesPerSecond,
        int valueBytes,
        int transactionOperations) {
      this(requestsPerSecond, writesPerSecond, valueBytes, transactionOperations, Optional.empty());
    }

    /** The longest value that fits before and after the change of limits. */
    public int lowestMaxValueBytes() {
      return Math.min(maxValueBytes, next.map(StoreLimits::maxValueBytes).orElse(maxValueBytes));
    }

    /** The most writes of a transaction that fits before and after the change of limits. */
    public int lowestMaxTransactionOperations() {
      return Math.min(
          maxTransactionOperations,
          next.map(StoreLimits::maxTransactionOperations).orElse(maxTransactionOperations));
    }

    /** The share of the write rate that remains after the change of limits. */
    public double writesShareAfterReduction() {
      return Math.min(
          1, next.map(StoreLimits::writesPerSecond).orElse(writesPerSecond) / writesPerSecond);
    }

    /** The share of the request rate that remains after the change of limits. */
    public double requestsShareAfterReduction() {
      return Math.min(
          1,
          next.map(StoreLimits::requestsPerSecond).orElse(requestsPerSecond) / requestsPerSecond);
    }
  }

  /**
   * The limits of the cloud's interface.
   *
   * @param listLag how far the machine list usually lags behind
   */
  public record CloudLimits(double requestsPerSecond, Duration listLag) {}

  /**
   * The limits of this process.
   *
   * @param cpuCores share of a processor core
   * @param maxFileDescriptors number of open sockets and files
   */
  public record ProcessLimits(double cpuCores, double memoryMb, int maxFileDescriptors) {}
}
