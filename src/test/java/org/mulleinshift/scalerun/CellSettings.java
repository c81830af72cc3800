package org.mulleinshift.scalerun;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Settings of one cell: the limits of its teams and the controllers' settings files. */
final class CellSettings {
  static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  static final double LISTING_LAG_SECONDS = 4;
  static final int TRANSACTION_OPERATIONS = 12;

  private static final double CLOCK_TOLERANCE_MS = 5.0;
  private static final double WAIT_SECONDS = 1.2;
  private static final double WAIT_SHARE = 0.99;
  private static final double GANG_WAIT_SECONDS = 30.0;
  private static final double GANG_PEER_SECONDS = 4.0;
  private static final double CLOUD_REQUESTS_PER_SECOND = 15.0;
  private static final int MAX_OPEN_FILES = 16_000;
  private static final double LIMIT_TO_FAIR_SHARE = 4;

  /** Ratio of a team's fair share to its guaranteed processors. */
  private static final double FAIR_SHARE_TO_GUARANTEE = 2;

  /** Each team's limit allows at least this many batch jobs to run at the same time. */
  private static final int MIN_BATCH_JOBS_WITHIN_LIMIT = 4;

  private final ScaleOptions options;
  private final int cell;
  private final CellAddresses addresses;

  CellSettings(ScaleOptions options, int cell, CellAddresses addresses) {
    this.options = options;
    this.cell = cell;
    this.addresses = addresses;
  }

  int workersPerCell() {
    return options.workers / options.cells;
  }

  double storeRequestsPerSecond() {
    return options.storeRequestsPerSecond / options.cells;
  }

  double storeWritesPerSecond() {
    return options.storeWritesPerSecond / options.cells;
  }

  /** Each team's limit, summed over the cells that this process runs; processors by team. */
  Map<String, Double> teamLimits() {
    Map<String, Double> limits = new HashMap<>();
    for (int i = 0; i < options.teams; i++) {
      limits.put(ScaleWorkload.team(i), options.cellsHere() * teamLimitInCell());
    }
    return limits;
  }

  /** A cell's share of each team's limit; fixed, so that cells need no coordination. */
  private double teamLimitInCell() {
    if (options.teamLimit > 0) {
      return options.teamLimit;
    }
    double fairShare = workersPerCell() * options.workerCpus / options.teams;
    double smallest = MIN_BATCH_JOBS_WITHIN_LIMIT * options.batchTasks;
    return Math.max(smallest, Math.ceil(LIMIT_TO_FAIR_SHARE * fairShare));
  }

  String label(int controller) {
    return "cell" + cell + "-" + controller;
  }

  private static String zone(int controller) {
    return ZONES.get(controller % ZONES.size());
  }

  /** The settings file of a controller. */
  String file(int controller) {
    StringBuilder toml = new StringBuilder();
    text(toml, "label", label(controller));
    text(toml, "location", zone(controller));
    address(toml, "public_addr", addresses.publicAddress(controller));
    address(toml, "peer_bind", addresses.peerAddress(controller));
    addMembers(toml, controller);
    toml.append("[services]\n");
    address(toml, "cloud", addresses.cloud());
    address(toml, "state", addresses.store());
    toml.append("[cluster]\n");
    value(toml, "size", options.controllers);
    toml.append("zones = [\"").append(String.join("\", \"", ZONES)).append("\"]\n");
    value(toml, "clock_off_ms", CLOCK_TOLERANCE_MS);
    addTeams(toml);
    addObjective(toml);
    addWorkerTiming(toml);
    addLimits(toml);
    return toml.toString();
  }

  private void addMembers(StringBuilder toml, int controller) {
    for (int i = 0; i < options.controllers; i++) {
      if (i != controller) {
        toml.append("[[members]]\n");
        text(toml, "label", label(i));
        text(toml, "location", zone(i));
        address(toml, "address", addresses.peerAddress(i));
      }
    }
  }

  private void addTeams(StringBuilder toml) {
    double limit = teamLimitInCell();
    for (int i = 0; i < options.teams; i++) {
      toml.append("[[cluster.teams]]\n");
      text(toml, "name", ScaleWorkload.team(i));
      value(toml, "cpus", limit / LIMIT_TO_FAIR_SHARE / FAIR_SHARE_TO_GUARANTEE);
      value(toml, "cpus_max", limit * options.limitFactor);
    }
  }

  private static void addObjective(StringBuilder toml) {
    toml.append("[[cluster.objectives]]\n");
    text(toml, "kind", "wait");
    text(toml, "class", "urgent");
    value(toml, "within_s", WAIT_SECONDS);
    value(toml, "share", WAIT_SHARE);
  }

  private void addWorkerTiming(StringBuilder toml) {
    toml.append("[cluster.workers]\n");
    value(toml, "report_s", options.reportSeconds);
    value(toml, "lease_s", options.leaseSeconds);
    value(toml, "gang_wait_s", GANG_WAIT_SECONDS);
    value(toml, "gang_peer_s", GANG_PEER_SECONDS);
    value(toml, "cancel_s", options.cancelSeconds);
  }

  private void addLimits(StringBuilder toml) {
    toml.append("[cluster.state]\n");
    value(toml, "rps", storeRequestsPerSecond());
    value(toml, "write_rps", storeWritesPerSecond());
    value(toml, "value_kb", options.valueKb);
    value(toml, "txn_ops", TRANSACTION_OPERATIONS);
    toml.append("[cluster.cloud]\n");
    value(toml, "rps", CLOUD_REQUESTS_PER_SECOND);
    value(toml, "list_lag_s", LISTING_LAG_SECONDS);
    toml.append("[cluster.limits]\n");
    value(toml, "cpu", 1.0);
    value(toml, "ram_mb", 1000.0);
    value(toml, "fd_limit", MAX_OPEN_FILES);
  }

  private static void text(StringBuilder toml, String key, String value) {
    toml.append(key).append(" = \"").append(value).append("\"\n");
  }

  private static void address(StringBuilder toml, String key, InetSocketAddress value) {
    text(toml, key, CellAddresses.text(value));
  }

  private static void value(StringBuilder toml, String key, Number value) {
    toml.append(key).append(" = ").append(value).append('\n');
  }
}
