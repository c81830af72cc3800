package org.mulleinshift.autoscaling;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.protocol.MachineType;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Estimates boot times from the latest boots of each machine type, and classifies machines that are
 * still booting. At times machines come up at once, late, or not at all, so the estimates are
 * bounded: a few fast or slow boots must not distort them for long.
 */
public final class BootTimeEstimator {
  /** Number of latest boots of a type that its estimate is based on. */
  private static final int MAX_SAMPLES = 12;

  private static final double MILLIS_PER_SECOND = 1000.0;

  /**
   * Lower bound of an expected boot time, as a multiple of the boot time in the catalog. Boots
   * usually take between this multiple and {@link #ON_TIME_FACTOR}.
   */
  private static final double MIN_EXPECTED_FACTOR = 0.6;

  private static final double ON_TIME_FACTOR = 1.5;

  /**
   * While no machine of the type provisioned later is up, a machine is waited for at least this
   * many times its usual boot time.
   */
  private static final double MIN_DELAYED_ABANDON_FACTOR = 8;

  private static final double ABANDON_GRACE_SECONDS = 10;

  /** Classifies how a machine that is not up yet is booting. */
  enum BootStatus {
    /** It has not taken longer than boots usually do. */
    ON_TIME,
    /** Late, but no machine of its type provisioned later is up either: it may still come up. */
    DELAYED,
    /** Late, while a machine of its type provisioned later is up: it does not count as capacity. */
    OVERDUE,
    /** So late that it is no longer waited for. */
    ABANDONED
  }

  /** The latest boots of one machine type. */
  private static final class BootHistory {
    private final Deque<Double> samples = new ArrayDeque<>();

    /** When the most recently provisioned machine that is up was provisioned. */
    private Optional<MonotonicTime> latestProvisionedAt = Optional.empty();

    /** Returns whether a machine that was provisioned after the given time is up. */
    boolean hasLaterMachineUp(MonotonicTime provisionedAt) {
      return latestProvisionedAt.filter(latest -> latest.isAfter(provisionedAt)).isPresent();
    }

    void onUp(MonotonicTime provisionedAt) {
      if (latestProvisionedAt.isEmpty() || provisionedAt.isAfter(latestProvisionedAt.get())) {
        latestProvisionedAt = Optional.of(provisionedAt);
      }
    }

    void add(double bootSeconds) {
      samples.addLast(bootSeconds);
      if (samples.size() > MAX_SAMPLES) {
        samples.removeFirst();
      }
    }
  }

  private final double defaultSeconds;
  private final double abandonFactor;
  private final Map<MachineTypeId, BootHistory> histories = new HashMap<>();

  /**
   * Creates an estimator without samples.
   *
   * @param defaultSeconds boot time of a type whose catalog entry has none
   * @param abandonFactor multiple of the usual boot time after which a boot is abandoned
   */
  BootTimeEstimator(double defaultSeconds, double abandonFactor) {
    this.defaultSeconds = defaultSeconds;
    this.abandonFactor = abandonFactor;
  }

  /**
   * Records that a machine came up.
   *
   * @param bootSeconds its boot time, empty if its provisioning was not observed
   */
  void onUp(MachineTypeId type, MonotonicTime provisionedAt, Optional<Double> bootSeconds) {
    BootHistory history = history(type);
    history.onUp(provisionedAt);
    bootSeconds.ifPresent(history::add);
  }

  private BootHistory history(MachineTypeId type) {
    return histories.computeIfAbsent(type, key -> new BootHistory());
  }

  /** Returns the latest boot times of each type in seconds, oldest first. */
  public Map<MachineTypeId, List<Double>> latestSamples() {
    Map<MachineTypeId, List<Double>> latest = new LinkedHashMap<>();
    histories.forEach((type, history) -> latest.put(type, List.copyOf(history.samples)));
    return latest;
  }

  /**
   * Loads boot times that another leader measured, unless this estimator already has samples of the
   * type. Negative values are ignored.
   */
  public void loadSamples(MachineTypeId type, List<Double> bootSeconds) {
    BootHistory history = history(type);
    if (history.samples.isEmpty()) {
      bootSeconds.stream()
          .filter(seconds -> seconds >= 0)
          .limit(MAX_SAMPLES)
          .forEach(history.samples::addLast);
    }
  }

  private double catalogSeconds(MachineType type) {
    double seconds = type.bootTime().toMillis() / MILLIS_PER_SECOND;
    return seconds > 0 ? seconds : defaultSeconds;
  }

  /**
   * Returns the median of the latest boot times, but at least {@link #MIN_EXPECTED_FACTOR} times
   * the boot time in the catalog. Without samples, returns the boot time in the catalog or, if it
   * has none, the default.
   */
  double expectedSeconds(MachineType type) {
    BootHistory history = histories.get(type.id());
    if (history == null || history.samples.isEmpty()) {
      return catalogSeconds(type);
    }
    double[] sorted = history.samples.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    return Math.max(MIN_EXPECTED_FACTOR * catalogSeconds(type), sorted[sorted.length / 2]);
  }

  /** Classifies a machine that is not up yet by how long it has been booting. */
  BootStatus bootStatus(MachineType type, MonotonicTime provisionedAt, MonotonicTime now) {
    double bootingSeconds = now.secondsSince(provisionedAt);
    double usualSeconds = Math.max(expectedSeconds(type), catalogSeconds(type));
    if (bootingSeconds <= ON_TIME_FACTOR * usualSeconds) {
      return BootStatus.ON_TIME;
    }
    BootHistory history = histories.get(type.id());
    boolean laterMachineUp = history != null && history.hasLaterMachineUp(provisionedAt);
    double factor =
        laterMachineUp ? abandonFactor : Math.max(abandonFactor, MIN_DELAYED_ABANDON_FACTOR);
    if (bootingSeconds > ABANDON_GRACE_SECONDS + factor * usualSeconds) {
      return BootStatus.ABANDONED;
    }
    return laterMachineUp ? BootStatus.OVERDUE : BootStatus.DELAYED;
  }
}
