package org.mulleinshift.protocol;

/**
 * Amounts of resources that a task requires or a machine has. Amounts are compared with a small
 * tolerance, since sums of them have rounding errors.
 */
public record Resources(double cpus, double gpus, double memoryGb) {
  /** No resources. */
  public static final Resources ZERO = new Resources(0, 0, 0);

  /** Infinite resources: everything fits into them. */
  public static final Resources UNBOUNDED =
      new Resources(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);

  private static final double ROUNDING_TOLERANCE = 1e-6;
  private static final double MAX_COUNT = 1e6;

  /** Returns the sum of both. */
  public Resources plus(Resources other) {
    return new Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb);
  }

  /** Returns the difference; amounts may be negative. */
  public Resources minus(Resources other) {
    return new Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb);
  }

  /** Returns all amounts multiplied by the count. */
  public Resources times(double count) {
    return new Resources(cpus * count, gpus * count, memoryGb * count);
  }

  /** Whether the capacity is sufficient in each amount, within the rounding tolerance. */
  public boolean fitsInto(Resources capacity) {
    return cpus <= capacity.cpus + ROUNDING_TOLERANCE
        && gpus <= capacity.gpus + ROUNDING_TOLERANCE
        && memoryGb <= capacity.memoryGb + ROUNDING_TOLERANCE;
  }

  /** Whether no amount is larger than the other's; exact, unlike {@link #fitsInto}. */
  public boolean isAtMost(Resources other) {
    return cpus <= other.cpus && gpus <= other.gpus && memoryGb <= other.memoryGb;
  }

  /**
   * The dominant share: the largest fraction, over all amounts, that this is of the whole. At most
   * 1; amounts of which the whole has none are left out.
   */
  public double dominantShareOf(Resources whole) {
    double share = 0;
    share = whole.cpus > 0 ? Math.max(share, cpus / whole.cpus) : share;
    share = whole.gpus > 0 ? Math.max(share, gpus / whole.gpus) : share;
    share = whole.memoryGb > 0 ? Math.max(share, memoryGb / whole.memoryGb) : share;
    return Math.min(1, share);
  }

  /** How many times this fits into the capacity, within the tolerance; at most 1,000,000. */
  public int countFittingInto(Resources capacity) {
    double count = MAX_COUNT;
    count = cpus > 0 ? Math.min(count, (capacity.cpus + ROUNDING_TOLERANCE) / cpus) : count;
    count = gpus > 0 ? Math.min(count, (capacity.gpus + ROUNDING_TOLERANCE) / gpus) : count;
    count =
        memoryGb > 0 ? Math.min(count, (capacity.memoryGb + ROUNDING_TOLERANCE) / memoryGb) : count;
    return (int) Math.max(0, Math.floor(count));
  }
}
