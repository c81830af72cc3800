package org.mulleinshift.settings;

import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The operators' settings. Each key has a default and a range. */
public final class Tunables {

  /** A setting, with its name in the YAML file, its default, minimum and maximum. */
  public enum Key {
    /** Duration of the leader's lease. */
    LEADER_LEASE_S("leader_lease_s", 5, 1, 60),
    /** Part of {@code cancel_s} reserved as a safety margin beside the shard and worker leases. */
    CANCEL_MARGIN_S("cancel_margin_s", 4, 1, 60),
    /** Time between renewals of the session lease. */
    RENEW_INTERVAL_S("renew_s", 2, 0.2, 30),
    /** Minimum time between two scheduling cycles. */
    CYCLE_INTERVAL_MS("cycle_ms", 150, 10, 10_000),
    /** Time between two queue simulations of the autoscaler. */
    SIMULATION_INTERVAL_S("walk_s", 1, 0.2, 60),
    /** Number of steps of a queue simulation, which covers the boot time. */
    SIMULATION_STEPS("walk_steps", 10, 1, 200),
    /** Assumed boot time of a machine type if none was observed or listed in the catalog. */
    DEFAULT_BOOT_TIME_S("boot_default_s", 40, 1, 3600),
    /** A boot is abandoned once it takes this many times its expected time. */
    BOOT_ABANDONED_FACTOR("boot_overdue_factor", 3, 1, 20),
    /** How long a machine must be idle before it is released. */
    IDLE_RELEASE_DELAY_S("idle_return_s", 20, 0, 3600),
    /** A machine younger than this is not released. */
    MIN_MACHINE_AGE_S("minimum_held_s", 60, 0, 3600),
    /** Backoff before capacity that the cloud refused is requested again. */
    PROVISIONING_BACKOFF_S("refused_pause_s", 10, 1, 600),
    /** Maximum number of machines in a shard. */
    MAX_SHARD_MACHINES("block_machines", 24, 1, 1000),
    /** A controller that has not been heard from for this long loses its shards. */
    PEER_TIMEOUT_S("peer_silent_s", 4, 1, 60),
    /**
     * A controller considers its connection to the store lost after this long without a response,
     * if other controllers have had responses meanwhile.
     */
    STORE_TIMEOUT_S("state_lost_s", 1, 0.3, 30),
    /**
     * The standby takes over when neither it nor another controller has heard from the leader for
     * this long.
     */
    LEADER_TIMEOUT_S("leader_silent_s", 1, 0.5, 60),
    /** Retry-After of a request that can't be handled now. */
    RETRY_AFTER_S("retry_after_s", 2, 1, 30),
    /** Consecutive failures after which a machine is quarantined. */
    QUARANTINE_FAILURES("faulty_after", 3, 1, 100),
    /** Minimum backoff before a failed task is retried. */
    MIN_RETRY_BACKOFF_S("error_pause_s", 5, 0, 600),
    /**
     * Capacity reserved for a class with a start objective, as a multiple of the average number of
     * tasks of its jobs.
     */
    RESERVATION_FACTOR("headroom_jobs", 0.5, 0, 10),
    /** How long capacity stays reserved after the last job of such a class arrived. */
    RESERVATION_DURATION_S("headroom_lasts_s", 60, 0, 3600),
    /** A task that has run for longer than this is not preempted for a job of higher priority. */
    PREEMPTION_MAX_RUN_S("preempt_ran_s", 12, 0, 86_400),
    /**
     * Tasks are preempted for a job with a deadline only once it has to start within this time to
     * meet it.
     */
    PREEMPTION_SLACK_S("preempt_slack_s", 20, 0, 86_400),
    /**
     * Tasks are assigned to shard owners ahead of capacity that is expected to become free within
     * this time.
     */
    ASSIGN_AHEAD_S("ahead_s", 1, 0, 60),
    /** A shortage larger than this fraction of the cluster is provisioned immediately. */
    IMMEDIATE_RESIZE_SHARE("resize_at_once", 0.25, 0.01, 100),
    /**
     * How long jobs of the lowest priority that allow spot machines wait for them before on-demand
     * machines are provisioned; less if their deadline is near.
     */
    LOW_PRIORITY_WAIT_S("patient_s", 150, 0, 86_400),
    /**
     * Fraction of its fair share that each class and team may claim while another uses more than
     * its own fair share.
     */
    MINIMUM_SHARE("floor_share", 1, 0, 1),
    /**
     * A job that is overdue by more than this is ranked as if it were on time, so that late jobs
     * don't wait forever.
     */
    OVERDUE_S("overdue_s", 600, 0, 86_400),
    /**
     * The largest jobs of a class may start some tasks out of order after waiting for longer than
     * this.
     */
    MAX_WAIT_S("begin_s", 120, 1, 86_400),
    /** How long a machine must be surplus before it is drained. */
    SURPLUS_DRAIN_DELAY_S("spare_s", 6, 0, 3600),
    /**
     * 1: progress is written to the log once all controllers can read it; 0: to keys of each job.
     */
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

  /** Returns settings in which every key has its default. */
  public static Tunables defaults() {
    return new Tunables(Map.of());
  }

  /**
   * Validates the entries of a settings file; keys that it omits have their defaults.
   *
   * @param file path of the file, for error messages
   * @throws SettingsException if a key is unknown, or a value is not a number within its range
   */
  public static Tunables parse(String file, Map<?, ?> entries) throws SettingsException {
    Map<Key, Double> values = new LinkedHashMap<>();
    for (Map.Entry<?, ?> entry : entries.entrySet()) {
      String name = String.valueOf(entry.getKey());
      Key key =
          findKey(name)
              .orElseThrow(() -> new SettingsException(file + ": " + name + ": unknown setting"));
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

  /** Returns the value as a number, in the key's own unit. */
  public double number(Key key) {
    return values.getOrDefault(key, key.defaultValue);
  }

  /** Returns the value as an integer; a fraction is dropped. */
  public int count(Key key) {
    return (int) number(key);
  }

  /** Returns the value of a key whose unit is seconds. */
  public Duration seconds(Key key) {
    return Duration.ofNanos((long) (number(key) * NANOS_PER_SECOND));
  }

  /** Returns the value of a key whose unit is milliseconds. */
  public Duration millis(Key key) {
    return Duration.ofNanos((long) (number(key) * NANOS_PER_MILLI));
  }
}
