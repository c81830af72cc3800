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
 * The measured boot times, and what can be expected of a machine on its way. At times machines come
 * up at once, late, or not at all: neither a lucky run nor a bad one decides for the rest of the
 * day.
 */
public final class BootTimeEstimator {
  private static final int REMEMBERED = 12;

  /** Boots are usually between this share of the listed time and the next one. */
  private static final double MIN_SHARE = 0.6;

  private static final double ORDINARY_SHARE = 1.5;
  private static final double EXCUSED_FACTOR = 8;
  private static final double GRACE_SECONDS = 10;

  /** What can be expected of a machine that is not up. */
  enum Outlook {
    ON_TIME,
    /** Late, but so is every machine of its type rented since: it may still come. */
    DELAYED,
    /** Late, while younger ones are up: no room to count on. */
    OVERDUE,
    /** Not worth waiting for. */
    ABANDONED
  }

  private static final class Seen {
    private final Deque<Double> seconds = new ArrayDeque<>();
    private MonotonicTime youngestUp;
  }

  private final double defaultSeconds;
  private final double overdueFactor;
  private final Map<MachineTypeId, Seen> types = new HashMap<>();

  BootTimeEstimator(double defaultSeconds, double overdueFactor) {
    this.defaultSeconds = defaultSeconds;
    this.overdueFactor = overdueFactor;
  }

  /** A machine came up; how long that took is known only if its rental was seen. */
  void onUp(MachineTypeId type, MonotonicTime rentedAt, Optional<Double> took) {
    Seen seen = types.computeIfAbsent(type, key -> new Seen());
    if (seen.youngestUp == null || rentedAt.isAfter(seen.youngestUp)) {
      seen.youngestUp = rentedAt;
    }
    took.ifPresent(
        seconds -> {
          seen.seconds.addLast(seconds);
          if (seen.seconds.size() > REMEMBERED) {
            seen.seconds.removeFirst();
          }
        });
  }

  /** The latest boots of each type, oldest first. */
  public Map<MachineTypeId, List<Double>> latest() {
    Map<MachineTypeId, List<Double>> latest = new LinkedHashMap<>();
    types.forEach((type, seen) -> latest.put(type, List.copyOf(seen.seconds)));
    return latest;
  }

  /** Boots that another leader saw; this one's own come after them. */
  public void learn(MachineTypeId type, List<Double> seconds) {
    Seen seen = types.computeIfAbsent(type, key -> new Seen());
    if (seen.seconds.isEmpty()) {
      seconds.stream().filter(s -> s >= 0).limit(REMEMBERED).forEach(seen.seconds::addLast);
    }
  }

  private double listed(MachineType type) {
    double seconds = type.boot().toMillis() / 1000.0;
    return seconds > 0 ? seconds : defaultSeconds;
  }

  /** The median of the latest boots, and never a small part of the listed time. */
  double expected(MachineType type) {
    Seen seen = types.get(type.id());
    if (seen == null || seen.seconds.isEmpty()) {
      return listed(type);
    }
    double[] sorted = seen.seconds.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    return Math.max(MIN_SHARE * listed(type), sorted[sorted.length / 2]);
  }

  Outlook outlook(MachineType type, MonotonicTime rentedAt, MonotonicTime now) {
    double age = now.secondsSince(rentedAt);
    double ordinary = Math.max(expected(type), listed(type));
    if (age <= ORDINARY_SHARE * ordinary) {
      return Outlook.ON_TIME;
    }
    Seen seen = types.get(type.id());
    boolean overtaken =
        seen != null && seen.youngestUp != null && seen.youngestUp.isAfter(rentedAt);
    double factor = overtaken ? overdueFactor : Math.max(overdueFactor, EXCUSED_FACTOR);
    if (age > GRACE_SECONDS + factor * ordinary) {
      return Outlook.ABANDONED;
    }
    return overtaken ? Outlook.OVERDUE : Outlook.DELAYED;
  }
}
