package org.mulleinshift.simulation.time;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Virtual time: runs events in order of time without waiting; one seed determines all random
 * numbers.
 */
public final class VirtualTimeline implements Timeline {
  /**
   * Limit per call of {@link #runUntil}, to stop a simulation that schedules events without end.
   */
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

  /** Creates a timeline at time 0 whose random numbers are determined by the seed. */
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
   * Runs all events up to and including the given time, then advances the clock to it.
   *
   * @param seconds since the timeline began
   * @throws IllegalStateException if one call runs too many events
   */
  public void runUntil(double seconds) {
    long end = (long) (seconds * NANOS_PER_SECOND);
    long count = 0;
    while (!events.isEmpty() && events.peek().at() <= end) {
      if (++count > MAX_EVENTS) {
        throw new IllegalStateException("too many events, simulated_seconds=" + seconds());
      }
      Event event = events.poll();
      now = Math.max(now, event.at());
      event.step().run();
    }
    now = end;
  }
}
