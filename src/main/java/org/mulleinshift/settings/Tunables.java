package org.mulleinshift.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The operators' own settings: every key with its range and default. */
public final class Tunables {

  /** A setting of ours. Names are those of the YAML file. */
  public enum Key {
    LEADER_LEASE_S("leader_lease_s", 5, 1, 60, "lease of the leader's key"),
    CANCEL_MARGIN_S(
        "cancel_margin_s", 4, 1, 60, "time kept free when block and worker leases share cancel_s"),
    RENEW_S("renew_s", 2, 0.2, 30, "time between renewals of the session lease"),
    CYCLE_MS("cycle_ms", 150, 10, 10_000, "least time between two scheduling cycles"),
    WALK_S("walk_s", 1, 0.2, 60, "time between two forward walks"),
    WALK_STEPS("walk_steps", 10, 1, 200, "steps of a forward walk over the boot time"),
    BOOT_DEFAULT_S("boot_default_s", 40, 1, 3600, "boot time before any was seen or listed"),
    BOOT_OVERDUE_FACTOR(
        "boot_overdue_factor", 3, 1, 20, "a boot this many times longer than expected is given up"),
    IDLE_RETURN_S("idle_return_s", 20, 0, 3600, "how long a machine stays idle before its return"),
    MINIMUM_HELD_S("minimum_held_s", 60, 0, 3600, "a machine younger than this is not returned"),
    REFUSED_PAUSE_S("refused_pause_s", 10, 1, 600, "pause after the cloud refused a rental"),
    SHARD_MACHINES("block_machines", 24, 1, 1000, "most machines of one block"),
    PEER_SILENT_S("peer_silent_s", 4, 1, 60, "a controller silent for this long loses its blocks"),
    STATE_LOST_S(
        "state_lost_s",
        1,
        0.3,
        30,
        "a controller without the state service for this long, while others have it, counts as cut off"),
    LEADER_SILENT_S(
        "leader_silent_s",
        1,
        0.5,
        60,
        "the standby takes over from a leader that it and another have not heard for this long"),
    RETRY_AFTER_S("retry_after_s", 2, 1, 30, "Retry-After of a submission that can't be taken"),
    FAULTY_AFTER("faulty_after", 3, 1, 100, "failures in a row that take a machine out of use"),
    ERROR_PAUSE_S("error_pause_s", 5, 0, 600, "least pause before a failed task is tried again"),
    HEADROOM_JOBS(
        "headroom_jobs",
        0.5,
        0,
        10,
        "average jobs of a class with a start aim that room is kept for"),
    HEADROOM_LASTS_S(
        "headroom_lasts_s", 60, 0, 3600, "how long after the last such job room is still kept"),
    PREEMPT_RAN_S(
        "preempt_ran_s",
        12,
        0,
        86_400,
        "a task that ran longer does not give way to a more urgent one"),
    PREEMPT_SLACK_S(
        "preempt_slack_s",
        20,
        0,
        86_400,
        "work gives way to a more urgent job with a deadline once it must start within this"),
    AHEAD_S(
        "ahead_s",
        1,
        0,
        60,
        "tasks are sent to holders for room that should become free within this"),
    RESIZE_AT_ONCE(
        "resize_at_once",
        0.25,
        0.01,
        100,
        "a shortage of more than this share of the fleet is rented without waiting"),
    PATIENT_S(
        "patient_s",
        150,
        0,
        86_400,
        "work of the lowest priority rents no ordinary machines before it has waited this long"),
    FLOOR_SHARE(
        "floor_share",
        1,
        0,
        1,
        "share of its fair part that each class and team may claim while another has more than its own"),
    OVERDUE_S(
        "overdue_s", 600, 0, 86_400, "a job this long past its deadline waits behind no others"),
    BEGIN_S(
        "begin_s",
        120,
        1,
        86_400,
        "one of the largest jobs of a class that waited this long starts some tasks before others"),
    SPARE_S(
        "spare_s", 6, 0, 3600, "how long the fleet could do without a machine before it drains"),
    PROGRESS_LOG(
        "progress_log",
        1,
        0,
        1,
        "1: progress goes to the log once all controllers read it; 0: to keys of each job"),
    HTTP_THREADS("http_threads", 16, 2, 256, "threads that read requests and write answers");

    private final String yaml;
    private final double standard;
    private final double least;
    private final double most;
    private final String meaning;

    Key(String yaml, double standard, double least, double most, String meaning) {
      this.yaml = yaml;
      this.standard = standard;
      this.least = least;
      this.most = most;
      this.meaning = meaning;
    }

    public String yaml() {
      return yaml;
    }

    public double least() {
      return least;
    }

    public double most() {
      return most;
    }

    @Override
    public String toString() {
      return yaml + ": " + meaning + " (" + standard + "; " + least + " to " + most + ")";
    }
  }

  private final Map<Key, Double> values;

  private Tunables(Map<Key, Double> values) {
    this.values = values;
  }

  public static Tunables standard() {
    return new Tunables(Map.of());
  }

  /** Checks names and ranges of everything that a file sets. */
  public static Tunables of(String file, Map<?, ?> entries) throws SettingsException {
    Map<Key, Double> values = new LinkedHashMap<>();
    for (Map.Entry<?, ?> entry : entries.entrySet()) {
      Key key = find(String.valueOf(entry.getKey()));
      if (key == null) {
        throw new SettingsException(file + ": " + entry.getKey() + ": no such setting");
      }
      if (!(entry.getValue() instanceof Number number)
          || !(number.doubleValue() >= key.least && number.doubleValue() <= key.most)) {
        throw new SettingsException(
            file + ": " + key.yaml + ": not a number from " + key.least + " to " + key.most);
      }
      values.put(key, number.doubleValue());
    }
    return new Tunables(values);
  }

  private static Key find(String yaml) {
    for (Key key : Key.values()) {
      if (key.yaml.equals(yaml)) {
        return key;
      }
    }
    return null;
  }

  public static List<String> describeAll() {
    List<String> lines = new ArrayList<>();
    for (Key key : Key.values()) {
      lines.add(key.toString());
    }
    return lines;
  }

  public double number(Key key) {
    return values.getOrDefault(key, key.standard);
  }

  public int count(Key key) {
    return (int) number(key);
  }

  public Duration seconds(Key key) {
    return Duration.ofNanos((long) (number(key) * 1e9));
  }

  public Duration millis(Key key) {
    return Duration.ofNanos((long) (number(key) * 1e6));
  }
}
