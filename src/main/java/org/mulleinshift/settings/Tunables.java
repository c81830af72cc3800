package org.mulleinshift.settings;

import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The operators' own settings: every key with its default and range. */
public final class Tunables {

  /** A setting, with its name in the YAML file, its default, minimum and maximum. */
  public enum Key {
    /** Lease of the leader's key. */
    LEADER_LEASE_S("leader_lease_s", 5, 1, 60),
    /** Part of {@code cancel_s} that neither shard nor worker leases use up. */
    CANCEL_MARGIN_S("cancel_margin_s", 4, 1, 60),
    /** Time between renewals of the session lease. */
    RENEW_INTERVAL_S("renew_s", 2, 0.2, 30),
    /** Shortest time between two scheduling cycles. */
    CYCLE_INTERVAL_MS("cycle_ms", 150, 10, 10_000),
    /** Time between two queue simulations of the autoscaler. */
    SIMULATION_INTERVAL_S("walk_s", 1, 0.2, 60),
    /** Steps of a queue simulation over the boot time. */
    SIMULATION_STEPS("walk_steps", 10, 1, 200),
    /** Boot time before any was observed or listed. */
    DEFAULT_BOOT_TIME_S("boot_default_s", 40, 1, 3600),
    /** A boot that takes so many times longer than expected is abandoned. */
    BOOT_ABANDONED_FACTOR("boot_overdue_factor", 3, 1, 20),
    /** How long a machine stays idle before it is released. */
    IDLE_RELEASE_DELAY_S("idle_return_s", 20, 0, 3600),
    /** A machine younger than this is not released. */
    MIN_MACHINE_AGE_S("minimum_held_s", 60, 0, 3600),
    /** Backoff after the cloud had no capacity. */
    PROVISIONING_BACKOFF_S("refused_pause_s", 10, 1, 600),
    /** Most machines of one shard. */
    MAX_SHARD_MACHINES("block_machines", 24, 1, 1000),
    /** A controller that was not heard for this long loses its shards. */
    PEER_TIMEOUT_S("peer_silent_s", 4, 1, 60),
    /**
     * A controller counts as cut off when it had no response from the store for this long, while
     * others had.
     */
    STORE_TIMEOUT_S("state_lost_s", 1, 0.3, 30),
    /**
     * The standby takes over from a leader that it and another controller have not heard for this
     * long.
     */
    LEADER_TIMEOUT_S("leader_silent_s", 1, 0.5, 60),
    /** Retry-After of a request that can't be answered now. */
    RETRY_AFTER_S("retry_after_s", 2, 1, 30),
    /** Consecutive failures after which a machine is quarantined. */
    QUARANTINE_FAILURES("faulty_after", 3, 1, 100),
    /** Shortest backoff before a failed task is retried. */
    MIN_RETRY_BACKOFF_S("error_pause_s", 5, 0, 600),
    /** Average jobs of a class with a start objective that capacity is reserved for. */
    RESERVATION_FACTOR("headroom_jobs", 0.5, 0, 10),
    /** How long after the last such job capacity stays reserved. */
    RESERVATION_DURATION_S("headroom_lasts_s", 60, 0, 3600),
    /** A task that ran longer than this is not preempted for a job of higher priority. */
    PREEMPTION_MAX_RUN_S("preempt_ran_s", 12, 0, 86_400),
    /** Tasks are preempted for a job with a deadline once it must start within this time. */
    PREEMPTION_SLACK_S("preempt_slack_s", 20, 0, 86_400),
    /** Tasks are assigned to shard owners for capacity that should become free within this time. */
    ASSIGN_AHEAD_S("ahead_s", 1, 0, 60),
    /** A shortage of more than this share of the cluster is provisioned without waiting. */
    IMMEDIATE_RESIZE_SHARE("resize_at_once", 0.25, 0.01, 100),
    /** Jobs of the lowest priority get no on-demand machines before they have waited this long. */
    LOW_PRIORITY_WAIT_S("patient_s", 150, 0, 86_400),
    /**
     * Part of its fair share that each class and team may claim while another has more than its
     * own.
     */
    MINIMUM_SHARE("floor_share", 1, 0, 1),
    /** A job this long past its deadline waits behind no others. */
    OVERDUE_S("overdue_s", 600, 0, 86_400),
    /** One of the largest jobs of a class that waited this long starts some tasks before others. */
    MAX_WAIT_S("begin_s", 120, 1, 86_400),
    /** How long a machine must have been surplus before it is drained. */
    SURPLUS_DRAIN_DELAY_S("spare_s", 6, 0, 3600),
    /** 1: progress goes to the log once all controllers read it; 0: to keys of each job. */
    PROGRESS_LOG_ENABLED("progress_log", 1, 0, 1),
    /** Threads that read requests and write responses. */
    HTTP_THREADS("http_threads", 16, 2, 256);

    private final String yamlName;
    private final double defaultValue;
    private final double min;
    private final double max;

    Key(String yamlName, double defaultValue, double min, double max) {
      this.yamlName = yamlName;
      this.defaultValue = defaultValue;
      this.min = min;
      this.max = max;
    }

    /** The key's name in the YAML file. */
    public String yamlName() {
      return yamlName;
    }

    private boolean allows(double value) {
      return value >= min && value <= max;
    }
  }

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;

  private final Map<Key, Double> values;

  private Tunables(Map<Key, Double> values) {
    this.values = values;
  }

  /** All keys have their defaults. */
  public static Tunables defaults() {
    return new Tunables(Map.of());
  }

  /**
   * The values of a file; what it leaves out has its default.
   *
   * @param file names the file in errors
   * @throws SettingsException if a key is unknown, or a value is not a number within its range
   */
  public static Tunables parse(String file, Map<?, ?> entries) throws SettingsException {
    Map<Key, Double> values = new LinkedHashMap<>();
    for (Map.Entry<?, ?> entry : entries.entrySet()) {
      String name = String.valueOf(entry.getKey());
      Key key =
          findKey(name)
              .orElseThrow(() -> new SettingsException(file + ": " + name + ": no such setting"));
      if (!(entry.getValue() instanceof Number number) || !key.allows(number.doubleValue())) {
        throw new SettingsException(
            file + ": " + key.yamlName + ": not a number from " + key.min + " to " + key.max);
      }
      values.put(key, number.doubleValue());
    }
    return new Tunables(values);
  }

  private static Optional<Key> findKey(String yamlName) {
    return Arrays.stream(Key.values()).filter(key -> key.yamlName.equals(yamlName)).findFirst();
  }

  /** A value as it stands in the file. */
  public double number(Key key) {
    return values.getOrDefault(key, key.defaultValue);
  }

  /** A value without its fraction. */
  public int count(Key key) {
    return (int) number(key);
  }

  /** A value that is given in seconds. */
  public Duration seconds(Key key) {
    return Duration.ofNanos((long) (number(key) * NANOS_PER_SECOND));
  }

  /** A value that is given in milliseconds. */
  public Duration millis(Key key) {
    return Duration.ofNanos((long) (number(key) * NANOS_PER_MILLI));
  }
}
