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
    InetSocketAddress state,
    Cluster cluster,
    Limits limits) {

  public record Member(String label, String zone, InetSocketAddress address) {}

  public record Cluster(
      int size,
      List<String> zones,
      Duration clockOff,
      List<Team> teams,
      List<Objective> objectives,
      Workers workers,
      State state,
      Cloud cloudLimits) {}

  /** A maximum of 0 means that there is none. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

  /**
   * An aim.
   *
   * @param times of kind {@code deadline}: how many times its deadline a job may take; 0: not said
   */
  public record Objective(
      String kind, Optional<String> jobClass, double withinSeconds, double times) {}

  public record Workers(Duration report, Duration lease, Duration cancel) {}

  /**
   * The state service's limits.
   *
   * @param next those that it will have from some moment on, unannounced
   */
  public record State(
      double requestsPerSecond,
      double writesPerSecond,
      int valueBytes,
      int txnOps,
      Optional<State> next) {
    public State(double requestsPerSecond, double writesPerSecond, int valueBytes, int txnOps) {
      this(requestsPerSecond, writesPerSecond, valueBytes, txnOps, Optional.empty());
    }

    /** What is written must fit before and after that moment. */
    public int minValueBytes() {
      return Math.min(valueBytes, next.map(State::valueBytes).orElse(valueBytes));
    }

    public int minTxnOps() {
      return Math.min(txnOps, next.map(State::txnOps).orElse(txnOps));
    }

    /** What is left of the rate of changes after that moment. */
    public double writesLeft() {
      return Math.min(
          1, next.map(State::writesPerSecond).orElse(writesPerSecond) / writesPerSecond);
    }

    /** What is left of the rate of requests after that moment. */
    public double requestsLeft() {
      return Math.min(
          1, next.map(State::requestsPerSecond).orElse(requestsPerSecond) / requestsPerSecond);
    }
  }

  public record Cloud(double requestsPerSecond, Duration listLag) {}

  public record Limits(double cpu, double memoryMb, int sockets) {}
}
