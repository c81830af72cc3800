package org.mulleinshift.protocol;

/**
 * Amounts that a task takes or a machine has. Amounts are compared with a small tolerance, since
 * sums of them are rounded.
 */
public record Resources(double cpus, double gpus, double memoryGb) {
  /** Nothing. */
  public static final Resources ZERO = new Resources(0, 0, 0);

  /** More than anything takes. */
  public static final Resources UNBOUNDED =
      new Resources(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);

  private static final double ROUNDING_TOLERANCE = 1e-6;
  private static final double MAX_COUNT = 1e6;

  /** The sum of both. */
  public Resources plus(Resources other) {
    return new Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb);
  }

  /** This without the other; may be negative. */
  public Resources minus(Resources other) {
    return new Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb);
  }

  /** This many times. */
  public Resources times(double count) {
    return new Resources(cpus * count, gpus * count, memoryGb * count);
  }

  /** Whether the capacity has enough of everything, but for rounding. */
  public boolean fitsInto(Resources capacity) {
    return cpus <= capacity.cpus + ROUNDING_TOLERANCE
        && gpus <= capacity.gpus + ROUNDING_TOLERANCE
        && memoryGb <= capacity.memoryGb + ROUNDING_TOLERANCE;
  }

  /** No more of anything than the other; exact, unlike {@link #fitsInto}. */
  public boolean isAtMost(Resources other) {
    return cpus <= other.cpus && gpus <= other.gpus && memoryGb <= other.memoryGb;
  }

  /** The largest share that this takes of any amount of the whole. */
  public double dominantShareOf(Resources whole) {
    double share = 0;
    share = whole.cpus > 0 ? Math.max(share, cpus / whole.cpus) : share;
    share = whole.gpus > 0 ? Math.max(share, gpus / whole.gpus) : share;
    share = whole.memoryGb > 0 ? Math.max(share, memoryGb / whole.memoryGb) : share;
    return Math.min(1, share);
  }

  /** How many times this fits into the capacity, up to a million. */
  public int countFittingInto(Resources capacity) {
    double count = MAX_COUNT;
    count = cpus > 0 ? Math.min(count, (capacity.cpus + ROUNDING_TOLERANCE) / cpus) : count;
    count = gpus > 0 ? Math.min(count, (capacity.gpus + ROUNDING_TOLERANCE) / gpus) : count;
    count =
        memoryGb > 0 ? Math.min(count, (capacity.memoryGb + ROUNDING_TOLERANCE) / memoryGb) : count;
    return (int) Math.max(0, Math.floor(count));
  }
}
