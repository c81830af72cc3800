package org.mulleinshift.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads and validates the platform's TOML file. Unknown fields are ignored. */
public final class PlatformSettingsReader {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final int BYTES_PER_KB = 1024;

  // Values outside these ranges are rejected as mistakes.
  private static final double MIN_SECONDS = 0.01;
  private static final double MAX_SECONDS = 1e6;
  private static final double MAX_AMOUNT = 1e12;
  private static final double MIN_CPU_CORES = 0.01;
  private static final double MAX_CPU_CORES = 1024;
  private static final double MIN_MEMORY_MB = 32;
  private static final double MAX_MEMORY_MB = 1e7;
  private static final double MIN_FILE_DESCRIPTORS = 32;
  private static final double MAX_FILE_DESCRIPTORS = 1e7;
  private static final double MAX_CONTROLLERS = 99;
  private static final double MIN_CLOUD_RATE = 0.1;
  private static final double MAX_RATE = 1e9;
  private static final double MIN_VALUE_KB = 0.5;
  private static final double MAX_VALUE_KB = 1e6;
  private static final double MAX_TRANSACTION_OPERATIONS = 1e6;
  private static final int MAX_PORT = 65_535;

  private final String file;

  private PlatformSettingsReader(String file) {
    this.file = file;
  }

  /**
   * Reads the settings from a file.
   *
   * @throws SettingsException if it can't be read, or a setting is missing or invalid
   */
  public static PlatformSettings read(Path path) throws SettingsException {
    String text;
    try {
      text = Files.readString(path);
    } catch (IOException e) {
      throw new SettingsException(path + ": cannot be read");
    }
    JsonNode root;
    try {
      root = new TomlMapper().readTree(text);
    } catch (JsonProcessingException e) {
      throw new SettingsException(path + ": not valid TOML: " + firstLine(e.getOriginalMessage()));
    }
    return new PlatformSettingsReader(path.toString()).parsePlatform(root);
  }

  private static String firstLine(String message) {
    return message == null ? "" : message.lines().findFirst().orElse("");
  }

  private PlatformSettings parsePlatform(JsonNode root) throws SettingsException {
    JsonNode cluster = table(root, "", "cluster");
    JsonNode services = table(root, "", "services");
    JsonNode limits = table(cluster, "cluster.", "limits");
    List<PlatformSettings.Member> members = new ArrayList<>();
    for (JsonNode member : root.path("members")) {
      members.add(parseMember(member, "members."));
    }
    return new PlatformSettings(
        text(root, "", "label"),
        text(root, "", "location"),
        address(root, "", "public_addr"),
        address(root, "", "peer_bind"),
        List.copyOf(members),
        address(services, "services.", "cloud"),
        address(services, "services.", "state"),
        parseCluster(cluster, "cluster."),
        parseProcessLimits(limits, "cluster.limits."));
  }

  private PlatformSettings.Member parseMember(JsonNode node, String path) throws SettingsException {
    return new PlatformSettings.Member(
        text(node, path, "label"), text(node, path, "location"), address(node, path, "address"));
  }

  private PlatformSettings.ProcessLimits parseProcessLimits(JsonNode node, String path)
      throws SettingsException {
    return new PlatformSettings.ProcessLimits(
        number(node, path, "cpu", MIN_CPU_CORES, MAX_CPU_CORES),
        number(node, path, "ram_mb", MIN_MEMORY_MB, MAX_MEMORY_MB),
        (int) number(node, path, "fd_limit", MIN_FILE_DESCRIPTORS, MAX_FILE_DESCRIPTORS));
  }

  private PlatformSettings.Cluster parseCluster(JsonNode node, String path)
      throws SettingsException {
    JsonNode workers = table(node, path, "workers");
    JsonNode store = table(node, path, "state");
    JsonNode cloud = table(node, path, "cloud");
    List<String> zones = new ArrayList<>();
    for (JsonNode zone : node.path("zones")) {
      zones.add(zone.asText());
    }
    List<PlatformSettings.Team> teams = new ArrayList<>();
    for (JsonNode team : node.path("teams")) {
      teams.add(parseTeam(team, path + "teams."));
    }
    List<PlatformSettings.Objective> objectives = new ArrayList<>();
    for (JsonNode objective : node.path("objectives")) {
      objectives.add(parseObjective(objective, path + "objectives."));
    }
    return new PlatformSettings.Cluster(
        (int) number(node, path, "size", 1, MAX_CONTROLLERS),
        List.copyOf(zones),
        Duration.ofNanos((long) (amountOrZero(node, path, "clock_off_ms") * NANOS_PER_MILLI)),
        List.copyOf(teams),
        List.copyOf(objectives),
        parseWorkerTiming(workers, path + "workers."),
        parseStoreLimits(store, path + "state."),
        parseCloudLimits(cloud, path + "cloud."));
  }

  private PlatformSettings.Team parseTeam(JsonNode node, String path) throws SettingsException {
    return new PlatformSettings.Team(
        text(node, path, "name"),
        amountOrZero(node, path, "cpus"),
        amountOrZero(node, path, "cpus_max"),
        amountOrZero(node, path, "gpus"),
        amountOrZero(node, path, "gpus_max"));
  }

  private PlatformSettings.Objective parseObjective(JsonNode node, String path)
      throws SettingsException {
    return new PlatformSettings.Objective(
        ObjectiveKind.fromSetting(node.path("kind").asText("")),
        Optional.ofNullable(node.path("class").asText(null)),
        amountOrZero(node, path, "within_s"),
        amountOrZero(node, path, "times"));
  }

  private PlatformSettings.WorkerTiming parseWorkerTiming(JsonNode node, String path)
      throws SettingsException {
    return new PlatformSettings.WorkerTiming(
        seconds(node, path, "report_s"),
        seconds(node, path, "lease_s"),
        seconds(node, path, "cancel_s"));
  }

  private PlatformSettings.CloudLimits parseCloudLimits(JsonNode node, String path)
      throws SettingsException {
    return new PlatformSettings.CloudLimits(
        number(node, path, "rps", MIN_CLOUD_RATE, MAX_RATE),
        Duration.ofNanos((long) (amountOrZero(node, path, "list_lag_s") * NANOS_PER_SECOND)));
  }

  private PlatformSettings.StoreLimits parseStoreLimits(JsonNode node, String path)
      throws SettingsException {
    PlatformSettings.StoreLimits now = parseStoreLimits(node, node, path);
    if (!node.hasNonNull("next")) {
      return now;
    }
    JsonNode next = table(node, path, "next");
    return new PlatformSettings.StoreLimits(
        now.requestsPerSecond(),
        now.writesPerSecond(),
        now.maxValueBytes(),
        now.maxTransactionOperations(),
        Optional.of(parseStoreLimits(next, node, path + "next.")));
  }

  /** Parses store limits; keys that the table omits are taken from the fallback table. */
  private PlatformSettings.StoreLimits parseStoreLimits(
      JsonNode node, JsonNode fallback, String path) throws SettingsException {
    return new PlatformSettings.StoreLimits(
        number(tableContaining(node, fallback, "rps"), path, "rps", 1, MAX_RATE),
        number(tableContaining(node, fallback, "write_rps"), path, "write_rps", 1, MAX_RATE),
        (int)
            (number(
                    tableContaining(node, fallback, "value_kb"),
                    path,
                    "value_kb",
                    MIN_VALUE_KB,
                    MAX_VALUE_KB)
                * BYTES_PER_KB),
        (int)
            number(
                tableContaining(node, fallback, "txn_ops"),
                path,
                "txn_ops",
                2,
                MAX_TRANSACTION_OPERATIONS));
  }

  private static JsonNode tableContaining(JsonNode node, JsonNode fallback, String key) {
    return node.has(key) ? node : fallback;
  }

  private JsonNode table(JsonNode parent, String path, String key) throws SettingsException {
    JsonNode node = parent.path(key);
    if (!node.isObject()) {
      throw invalid(path + key, "missing or not a table");
    }
    return node;
  }

  private String text(JsonNode parent, String path, String key) throws SettingsException {
    JsonNode node = parent.path(key);
    if (!node.isTextual() || node.asText().isBlank()) {
      throw invalid(path + key, "missing, blank or not a string");
    }
    return node.asText();
  }

  private double number(JsonNode parent, String path, String key, double min, double max)
      throws SettingsException {
    JsonNode node = parent.path(key);
    if (!node.isNumber() || !(node.asDouble() >= min && node.asDouble() <= max)) {
      throw invalid(path + key, "missing or not a number from " + min + " to " + max);
    }
    return node.asDouble();
  }

  private double amountOrZero(JsonNode parent, String path, String key) throws SettingsException {
    return parent.hasNonNull(key) ? number(parent, path, key, 0, MAX_AMOUNT) : 0;
  }

  private Duration seconds(JsonNode parent, String path, String key) throws SettingsException {
    return Duration.ofNanos(
        (long) (number(parent, path, key, MIN_SECONDS, MAX_SECONDS) * NANOS_PER_SECOND));
  }

  private InetSocketAddress address(JsonNode parent, String path, String key)
      throws SettingsException {
    String value = text(parent, path, key);
    int colon = value.lastIndexOf(':');
    try {
      int port = Integer.parseInt(value.substring(colon + 1));
      if (colon > 0 && port > 0 && port <= MAX_PORT) {
        return new InetSocketAddress(value.substring(0, colon), port);
      }
    } catch (NumberFormatException e) {
      throw invalid(path + key, "not an address of the form host:port");
    }
    throw invalid(path + key, "not an address of the form host:port");
  }

  private SettingsException invalid(String key, String reason) {
    return new SettingsException(file + ": " + key + ": " + reason);
  }
}
