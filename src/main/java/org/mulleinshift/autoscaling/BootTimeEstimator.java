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
 * Estimates boot times from the latest boots of each machine type, and what can be expected of a
 * machine that boots. At times machines come up at once, late, or not at all: the estimates are
 * bounded so that neither a few fast boots nor a few slow ones decide for long.
 */
public final class BootTimeEstimator {
  /** Boots of a type that the estimate is made from. */
  private static final int MAX_SAMPLES = 12;

  private static final double MILLIS_PER_SECOND = 1000.0;

  /** Boots usually take between this share of the listed time and {@link #MAX_USUAL_SHARE}. */
  private static final double MIN_USUAL_SHARE = 0.6;

  private static final double MAX_USUAL_SHARE = 1.5;

  /** At least so many usual times a machine is waited for while none of its type comes up. */
  private static final double DELAYED_TYPE_FACTOR = 8;

  private static final double ABANDON_GRACE_SECONDS = 10;

  /** What can be expected of a machine that is not up. */
  enum Outlook {
    /** It has not taken longer than usual. */
    ON_TIME,
    /** Late, but so is every machine of its type provisioned since: it may still come up. */
    DELAYED,
    /** Late, while machines provisioned later are up: no capacity to count on. */
    OVERDUE,
    /** Not worth waiting for. */
    ABANDONED
  }

  /** The boots of one machine type. */
  private static final class BootHistory {
    private final Deque<Double> seconds = new ArrayDeque<>();
    private Optional<MonotonicTime> latestProvisionedUp = Optional.empty();

    /** Whether a machine that was provisioned after the given time is up. */
    boolean hasUpProvisionedAfter(MonotonicTime provisionedAt) {
      return latestProvisionedUp.filter(latest -> latest.isAfter(provisionedAt)).isPresent();
    }

    void onUp(MonotonicTime provisionedAt) {
      if (latestProvisionedUp.isEmpty() || provisionedAt.isAfter(latestProvisionedUp.get())) {
        latestProvisionedUp = Optional.of(provisionedAt);
      }
    }

    void add(double bootSeconds) {
      seconds.addLast(bootSeconds);
      if (seconds.size() > MAX_SAMPLES) {
        seconds.removeFirst();
      }
    }
  }

  private final double defaultSeconds;
  private final double overdueFactor;
  private final Map<MachineTypeId, BootHistory> histories = new HashMap<>();

  /**
   * An estimator without samples.
   *
   * @param defaultSeconds boot time of a type that lists none
   * @param overdueFactor a boot that takes so many times the usual time is abandoned
   */
  BootTimeEstimator(double defaultSeconds, double overdueFactor) {
    this.defaultSeconds = defaultSeconds;
    this.overdueFactor = overdueFactor;
  }

  /**
   * A machine came up.
   *
   * @param bootSeconds how long that took, known only if its provisioning was observed
   */
  void onUp(MachineTypeId type, MonotonicTime provisionedAt, Optional<Double> bootSeconds) {
    BootHistory history = history(type);
    history.onUp(provisionedAt);
    bootSeconds.ifPresent(history::add);
  }

  private BootHistory history(MachineTypeId type) {
    return histories.computeIfAbsent(type, key -> new BootHistory());
  }

  /** The latest boot times of each type in seconds, oldest first. */
  public Map<MachineTypeId, List<Double>> latestSamples() {
    Map<MachineTypeId, List<Double>> latest = new LinkedHashMap<>();
    histories.forEach((type, history) -> latest.put(type, List.copyOf(history.seconds)));
    return latest;
  }

  /** Adds boot times that another leader measured, unless this one has measured its own. */
  public void learn(MachineTypeId type, List<Double> bootSeconds) {
    BootHistory history = history(type);
    if (history.seconds.isEmpty()) {
      bootSeconds.stream()
          .filter(seconds -> seconds >= 0)
          .limit(MAX_SAMPLES)
          .forEach(history.seconds::addLast);
    }
  }

  private double listed(MachineType type) {
    double seconds = type.bootTime().toMillis() / MILLIS_PER_SECOND;
    return seconds > 0 ? seconds : defaultSeconds;
  }

  /** The median of the latest boots in seconds, and at least the usual minimum. */
  double expected(MachineType type) {
    BootHistory history = histories.get(type.id());
    if (history == null || history.seconds.isEmpty()) {
      return listed(type);
    }
    double[] sorted = history.seconds.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    return Math.max(MIN_USUAL_SHARE * listed(type), sorted[sorted.length / 2]);
  }

  /** What can be expected of a machine that is not up. */
  Outlook outlook(MachineType type, MonotonicTime provisionedAt, MonotonicTime now) {
    double bootingSeconds = now.secondsSince(provisionedAt);
    double usualSeconds = Math.max(expected(type), listed(type));
    if (bootingSeconds <= MAX_USUAL_SHARE * usualSeconds) {
      return Outlook.ON_TIME;
    }
    BootHistory history = histories.get(type.id());
    boolean overtaken = history != null && history.hasUpProvisionedAfter(provisionedAt);
    double factor = overtaken ? overdueFactor : Math.max(overdueFactor, DELAYED_TYPE_FACTOR);
    if (bootingSeconds > ABANDON_GRACE_SECONDS + factor * usualSeconds) {
      return Outlook.ABANDONED;
    }
    return overtaken ? Outlook.OVERDUE : Outlook.DELAYED;
  }
}
