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

/** Reads and checks the platform's TOML file. Unknown fields are ignored. */
public final class PlatformSettingsReader {
  private final String file;

  private PlatformSettingsReader(String file) {
    this.file = file;
  }

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
    return new PlatformSettingsReader(path.toString()).platform(root);
  }

  private static String firstLine(String message) {
    return message == null ? "" : message.lines().findFirst().orElse("");
  }

  private PlatformSettings platform(JsonNode root) throws SettingsException {
    JsonNode cluster = table(root, "", "cluster");
    JsonNode services = table(root, "", "services");
    JsonNode limits = table(cluster, "cluster.", "limits");
    List<PlatformSettings.Member> members = new ArrayList<>();
    for (JsonNode member : root.path("members")) {
      members.add(
          new PlatformSettings.Member(
              text(member, "members.", "label"),
              text(member, "members.", "location"),
              address(member, "members.", "address")));
    }
    return new PlatformSettings(
        text(root, "", "label"),
        text(root, "", "location"),
        address(root, "", "public_addr"),
        address(root, "", "peer_bind"),
        List.copyOf(members),
        address(services, "services.", "cloud"),
        address(services, "services.", "state"),
        cluster(cluster),
        new PlatformSettings.Limits(
            number(limits, "cluster.limits.", "cpu", 0.01, 1024),
            number(limits, "cluster.limits.", "ram_mb", 32, 1e7),
            (int) number(limits, "cluster.limits.", "fd_limit", 32, 1e7)));
  }

  private PlatformSettings.Cluster cluster(JsonNode node) throws SettingsException {
    JsonNode workers = table(node, "cluster.", "workers");
    JsonNode state = table(node, "cluster.", "state");
    JsonNode cloud = table(node, "cluster.", "cloud");
    List<String> zones = new ArrayList<>();
    for (JsonNode zone : node.path("zones")) {
      zones.add(zone.asText());
    }
    List<PlatformSettings.Team> teams = new ArrayList<>();
    for (JsonNode team : node.path("teams")) {
      String at = "cluster.teams.";
      teams.add(
          new PlatformSettings.Team(
              text(team, at, "name"),
              amountOrZero(team, at, "cpus"),
              amountOrZero(team, at, "cpus_max"),
              amountOrZero(team, at, "gpus"),
              amountOrZero(team, at, "gpus_max")));
    }
    List<PlatformSettings.Objective> objectives = new ArrayList<>();
    for (JsonNode objective : node.path("objectives")) {
      objectives.add(
          new PlatformSettings.Objective(
              objective.path("kind").asText(""),
              Optional.ofNullable(objective.path("class").asText(null)),
              amountOrZero(objective, "cluster.objectives.", "within_s"),
              amountOrZero(objective, "cluster.objectives.", "times")));
    }
    String at = "cluster.";
    return new PlatformSettings.Cluster(
        (int) number(node, at, "size", 1, 99),
        List.copyOf(zones),
        Duration.ofNanos((long) (amountOrZero(node, at, "clock_off_ms") * 1e6)),
        List.copyOf(teams),
        List.copyOf(objectives),
        new PlatformSettings.WorkerTiming(
            seconds(workers, "cluster.workers.", "report_s"),
            seconds(workers, "cluster.workers.", "lease_s"),
            seconds(workers, "cluster.workers.", "cancel_s")),
        state(state),
        new PlatformSettings.CloudLimits(
            number(cloud, "cluster.cloud.", "rps", 0.1, 1e9),
            Duration.ofNanos((long) (amountOrZero(cloud, "cluster.cloud.", "list_lag_s") * 1e9))));
  }

  private PlatformSettings.StoreLimits state(JsonNode node) throws SettingsException {
    PlatformSettings.StoreLimits now = stateLimits(node, node, "cluster.state.");
    if (!node.hasNonNull("next")) {
      return now;
    }
    JsonNode next = table(node, "cluster.state.", "next");
    return new PlatformSettings.StoreLimits(
        now.requestsPerSecond(),
        now.writesPerSecond(),
        now.valueBytes(),
        now.transactionOperations(),
        Optional.of(stateLimits(next, node, "cluster.state.next.")));
  }

  /** What the table leaves out is as the other says. */
  private PlatformSettings.StoreLimits stateLimits(JsonNode node, JsonNode rest, String at)
      throws SettingsException {
    return new PlatformSettings.StoreLimits(
        number(holding(node, rest, "rps"), at, "rps", 1, 1e9),
        number(holding(node, rest, "write_rps"), at, "write_rps", 1, 1e9),
        (int) (number(holding(node, rest, "value_kb"), at, "value_kb", 0.5, 1e6) * 1024),
        (int) number(holding(node, rest, "txn_ops"), at, "txn_ops", 2, 1e6));
  }

  private static JsonNode holding(JsonNode node, JsonNode rest, String key) {
    return node.has(key) ? node : rest;
  }

  private JsonNode table(JsonNode parent, String at, String key) throws SettingsException {
    JsonNode node = parent.path(key);
    if (!node.isObject()) {
      throw bad(at + key, "missing or not a table");
    }
    return node;
  }

  private String text(JsonNode parent, String at, String key) throws SettingsException {
    JsonNode node = parent.path(key);
    if (!node.isTextual() || node.asText().isBlank()) {
      throw bad(at + key, "missing or not a text");
    }
    return node.asText();
  }

  private double number(JsonNode parent, String at, String key, double least, double most)
      throws SettingsException {
    JsonNode node = parent.path(key);
    if (!node.isNumber() || !(node.asDouble() >= least && node.asDouble() <= most)) {
      throw bad(at + key, "missing or not a number from " + least + " to " + most);
    }
    return node.asDouble();
  }

  private double amountOrZero(JsonNode parent, String at, String key) throws SettingsException {
    return parent.hasNonNull(key) ? number(parent, at, key, 0, 1e12) : 0;
  }

  private Duration seconds(JsonNode parent, String at, String key) throws SettingsException {
    return Duration.ofNanos((long) (number(parent, at, key, 0.01, 1e6) * 1e9));
  }

  private InetSocketAddress address(JsonNode parent, String at, String key)
      throws SettingsException {
    String value = text(parent, at, key);
    int colon = value.lastIndexOf(':');
    try {
      int port = Integer.parseInt(value.substring(colon + 1));
      if (colon > 0 && port > 0 && port < 65536) {
        return new InetSocketAddress(value.substring(0, colon), port);
      }
    } catch (NumberFormatException e) {
      throw bad(at + key, "not an address of the form host:port");
    }
    throw bad(at + key, "not an address of the form host:port");
  }

  private SettingsException bad(String key, String what) {
    return new SettingsException(file + ": " + key + ": " + what);
  }
}
