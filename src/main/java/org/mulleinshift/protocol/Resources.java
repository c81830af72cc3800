package org.mulleinshift.protocol;

/** Amounts that a task takes and a machine has. */
public record Resources(double cpus, double gpus, double memoryGb) {
  public static final Resources ZERO = new Resources(0, 0, 0);
  public static final Resources UNBOUNDED =
      new Resources(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
  private static final double SLACK = 1e-6;

  public Resources plus(Resources other) {
    return new Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb);
  }

  public Resources minus(Resources other) {
    return new Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb);
  }

  public Resources times(double count) {
    return new Resources(cpus * count, gpus * count, memoryGb * count);
  }

  public boolean fitsInto(Resources capacity) {
    return cpus <= capacity.cpus + SLACK
        && gpus <= capacity.gpus + SLACK
        && memoryGb <= capacity.memoryGb + SLACK;
  }

  /** No more of anything than the other; exact, unlike {@link #fitsInto}. */
  public boolean isAtMost(Resources other) {
    return cpus <= other.cpus && gpus <= other.gpus && memoryGb <= other.memoryGb;
  }

  /** The largest share that this takes of any amount of the whole. */
  public double shareOf(Resources whole) {
    double share = 0;
    share = whole.cpus > 0 ? Math.max(share, cpus / whole.cpus) : share;
    share = whole.gpus > 0 ? Math.max(share, gpus / whole.gpus) : share;
    share = whole.memoryGb > 0 ? Math.max(share, memoryGb / whole.memoryGb) : share;
    return Math.min(1, share);
  }

  /** How many of these fit into the room. */
  public int countIn(Resources capacity) {
    double count = 1e6;
    count = cpus > 0 ? Math.min(count, (capacity.cpus + SLACK) / cpus) : count;
    count = gpus > 0 ? Math.min(count, (capacity.gpus + SLACK) / gpus) : count;
    count = memoryGb > 0 ? Math.min(count, (capacity.memoryGb + SLACK) / memoryGb) : count;
    return (int) Math.max(0, Math.floor(count));
  }
}
