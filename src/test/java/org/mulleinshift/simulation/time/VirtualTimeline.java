package org.mulleinshift.simulation.time;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Virtual time: runs events in order; all randomness comes from one seed. */
public final class VirtualTimeline implements Timeline {
  /** Bounds a simulation that schedules events without end. */
  private static final long MAX_EVENTS = 3_000_000;

  private static final double NANOS_PER_SECOND = 1e9;

  private record Event(long at, long sequence, Runnable step) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final SplittableRandom random;
  private long now;
  private long sequence;

  /** A timeline whose random numbers follow from the seed. */
  public VirtualTimeline(long seed) {
    random = new SplittableRandom(seed);
  }

  @Override
  public long nanos() {
    return now;
  }

  @Override
  public double seconds() {
    return now / NANOS_PER_SECOND;
  }

  @Override
  public double random() {
    return random.nextDouble();
  }

  @Override
  public void after(double seconds, Runnable step) {
    long delay = (long) (Math.max(0, seconds) * NANOS_PER_SECOND);
    events.add(new Event(now + delay, sequence++, step));
  }

  /**
   * Runs all events up to that time, which is the time afterwards.
   *
   * @param seconds since the timeline began
   * @throws IllegalStateException if there are too many events
   */
  public void runUntil(double seconds) {
    long end = (long) (seconds * NANOS_PER_SECOND);
    long count = 0;
    while (!events.isEmpty() && events.peek().at() <= end) {
      if (++count > MAX_EVENTS) {
        throw new IllegalStateException("no end of events at " + seconds());
      }
      Event event = events.poll();
      now = Math.max(now, event.at());
      event.step().run();
    }
    now = end;
  }
}
